/// Settings before their values are understood: each with its location. Internal to settings/.
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

/// One of `text`, `list` and `nodes` is filled, by the kind of the key.
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

/// Reads the YAML `text`: finds syntax errors, unknown and repeated keys, and wrong shapes.
RawSettings ReadRawSettings(const std::string& file, const std::string& text, Findings& findings);
/// Puts the flags' values over those of the file.
void ApplyOverrides(const SettingOverrides& overrides, RawSettings& raw, Findings& findings);

}  // namespace millstair
