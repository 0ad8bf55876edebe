#include "settings/settings_table.h"

#include "fmt/format.h"
#include "settings/settings_schema.h"

namespace millstair {

std::string SettingsTable() {
  std::string table =
      "| key | value | default | bounds | meaning |\n| --- | --- | --- | --- | --- |\n";
  for (const SettingKey& key : SettingKeys()) {
    const std::string bounds = BoundsText(key);
    table += fmt::format("| `{}` | {} | {} | {} | {} |\n", key.key, KindText(key.kind),
                         DefaultText(key), bounds.empty() ? "-" : bounds, key.description);
  }
  return table;
}

}  // namespace millstair
