#include "settings/raw_settings.h"

#include <yaml-cpp/yaml.h>

#include <set>

#include "absl/strings/str_split.h"
#include "fmt/format.h"
#include "settings/settings_schema.h"

namespace millstair {
namespace {

bool IsList(SettingKind kind) {
  return kind == SettingKind::kNames || kind == SettingKind::kRoles ||
         kind == SettingKind::kRoutes || kind == SettingKind::kAddresses;
}

/// Traverses the document and collects the values of keys in the schema.
class SettingsReader {
 public:
  SettingsReader(const std::string& file, RawSettings& raw, Findings& findings)
      : file_(file), raw_(raw), findings_(findings) {}

  void ReadMap(const YAML::Node& map, const std::string& prefix) {
    std::set<std::string> seen;
    for (const auto& entry : map) {
      const std::string key = prefix + entry.first.Scalar();
      if (!seen.insert(key).second) {
        findings_.Add(LocationOf(entry.first), fmt::format("the key \"{}\" is set twice", key));
        continue;
      }
      ReadEntry(key, entry.first, entry.second);
    }
  }

 private:
  Location LocationOf(const YAML::Node& node) const {
    const YAML::Mark mark = node.Mark();
    return {file_, mark.line + 1, mark.column + 1};
  }

  RawText TextOf(const YAML::Node& node) const { return {node.Scalar(), LocationOf(node)}; }

  static bool IsSection(const std::string& key) {
    for (const SettingKey& entry : SettingKeys()) {
      if (entry.key.substr(0, key.size() + 1) == key + ".") return true;
    }
    return false;
  }

  void ReadEntry(const std::string& key, const YAML::Node& name, const YAML::Node& value) {
    if (IsSection(key)) {
      if (value.IsMap()) return ReadMap(value, key + ".");
      return findings_.Add(LocationOf(value), fmt::format("\"{}\" has to be a map of keys", key));
    }
    const SettingKey* schema = FindSettingKey(key);
    if (schema == nullptr) {
      return findings_.Add(LocationOf(name), fmt::format("unknown key \"{}\"", key));
    }
    RawSetting setting;
    setting.location = LocationOf(value);
    bool valid = false;
    if (schema->kind == SettingKind::kControlNodes) {
      valid = ReadNodes(value, setting);
    } else if (IsList(schema->kind)) {
      valid = ReadList(value, setting);
    } else {
      valid = value.IsScalar();
      if (valid) setting.text = TextOf(value);
    }
    if (!valid) {
      return findings_.Add(LocationOf(value),
                           fmt::format("\"{}\" has to be a {}", key, KindText(schema->kind)));
    }
    raw_[key] = std::move(setting);
  }

  bool ReadList(const YAML::Node& value, RawSetting& setting) const {
    if (!value.IsSequence()) return false;
    for (const auto& item : value) {
      if (!item.IsScalar()) return false;
      setting.list.push_back(TextOf(item));
    }
    return true;
  }

  bool ReadNodes(const YAML::Node& value, RawSetting& setting) {
    if (!value.IsSequence()) return false;
    for (const auto& item : value) {
      if (!item.IsMap()) return false;
      RawSetting::Node node;
      node.location = LocationOf(item);
      for (const auto& field : item) ReadNodeField(field.first, field.second, node);
      setting.nodes.push_back(std::move(node));
    }
    return true;
  }

  void ReadNodeField(const YAML::Node& name, const YAML::Node& value, RawSetting::Node& node) {
    const std::string key = name.Scalar();
    RawText* field = nullptr;
    if (key == "node") field = &node.node;
    if (key == "address") field = &node.address;
    if (key == "zone") field = &node.zone;
    if (field == nullptr) {
      findings_.Add(LocationOf(name), fmt::format("unknown key \"control_nodes.{}\"", key));
    } else if (!value.IsScalar()) {
      findings_.Add(LocationOf(value), fmt::format("\"control_nodes.{}\" has to be a word", key));
    } else if (field->location.line != 0) {
      findings_.Add(LocationOf(name),
                    fmt::format("the key \"control_nodes.{}\" is set twice", key));
    } else {
      *field = TextOf(value);
    }
  }

  const std::string& file_;
  RawSettings& raw_;
  Findings& findings_;
};

/// Parses a flag value such as "c1/127.0.0.1:7000/zone-a".
RawSetting::Node NodeOfFlag(absl::string_view text, const Location& location, Findings& findings) {
  const std::vector<std::string> parts = absl::StrSplit(text, '/');
  RawSetting::Node node;
  node.location = location;
  if (parts.size() != 3) {
    findings.Add(location,
                 fmt::format("\"{}\" is not of the form node/ip:port/zone", std::string(text)));
    return node;
  }
  node.node = {parts[0], location};
  node.address = {parts[1], location};
  node.zone = {parts[2], location};
  return node;
}

}  // namespace

RawSettings ReadRawSettings(const std::string& file, const std::string& text, Findings& findings) {
  RawSettings raw;
  try {
    const YAML::Node document = YAML::Load(text);
    if (document.IsNull()) return raw;
    if (!document.IsMap()) {
      findings.Add({file, 1, 1}, "the settings have to be a map of keys");
      return raw;
    }
    SettingsReader(file, raw, findings).ReadMap(document, "");
  } catch (const YAML::Exception& error) {
    findings.Add({file, error.mark.line + 1, error.mark.column + 1}, error.msg);
  }
  return raw;
}

void ApplyOverrides(const SettingOverrides& overrides, RawSettings& raw, Findings& findings) {
  for (const auto& [key, value] : overrides) {
    const Location location{"--" + FlagName(key), 0, 0};
    const SettingKey* schema = FindSettingKey(key);
    if (schema == nullptr) {
      findings.Add(location, fmt::format("unknown key \"{}\"", key));
      continue;
    }
    RawSetting setting;
    setting.location = location;
    if (schema->kind == SettingKind::kControlNodes) {
      for (const absl::string_view item : absl::StrSplit(value, ',', absl::SkipEmpty())) {
        setting.nodes.push_back(NodeOfFlag(item, location, findings));
      }
    } else if (IsList(schema->kind)) {
      for (const absl::string_view item : absl::StrSplit(value, ',', absl::SkipEmpty())) {
        setting.list.push_back({std::string(item), location});
      }
    } else {
      setting.text = {value, location};
    }
    raw[key] = std::move(setting);
  }
}

}  // namespace millstair
