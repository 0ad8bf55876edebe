/// Unparsed settings with their locations. Internal to settings/.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/findings.h"
#include "settings/settings.h"

namespace millstair {

struct RawText {
  std::string text;
  Location location;
};

/// One of `text`, `list` and `nodes` is set, depending on the kind of the key.
struct RawSetting {
  Location location;
  RawText text;
  std::vector<RawText> list;
  struct Node {
    Location location;
    RawText node;
    RawText address;
    RawText zone;
  };
  std::vector<Node> nodes;
};

using RawSettings = std::map<std::string, RawSetting>;

/// Parses the YAML `text`; reports syntax errors, unknown and repeated keys, and wrong node types.
RawSettings ReadRawSettings(const std::string& file, const std::string& text, Findings& findings);
/// Replaces values of the file by those of flags.
void ApplyOverrides(const SettingOverrides& overrides, RawSettings& raw, Findings& findings);

}  // namespace millstair
