#include "resources/yaml_fields.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include "common/units.h"
#include "fmt/format.h"

namespace millstair {

Location LocationOf(const std::string& file, const YAML::Node& node) {
  const YAML::Mark mark = node.Mark();
  if (mark.is_null()) return Location{file, 0, 0};
  return Location{file, mark.line + 1, mark.column + 1};
}

YamlFields::YamlFields(std::string file, const YAML::Node& node, std::string what,
                       Findings& findings)
    : file_(std::move(file)), node_(node), what_(std::move(what)), findings_(findings) {
  if (!node_.IsMap()) {
    if (!node_.IsNull())
      AddFinding(node_, fmt::format("{} must be a mapping of keys to values", what_));
    return;
  }
  for (const auto& pair : node_) {
    if (!pair.first.IsScalar()) {
      AddFinding(pair.first, fmt::format("a key in {} must be a word", what_));
      continue;
    }
    const bool added =
        entries_.try_emplace(pair.first.Scalar(), Entry{pair.first, pair.second, false}).second;
    if (!added) {
      AddFinding(pair.first,
                 fmt::format("key '{}' stands twice in {}", pair.first.Scalar(), what_));
    }
  }
}

YAML::Node YamlFields::Consume(const std::string& key, Presence presence) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (presence == Presence::kRequired) {
      AddFinding(node_, fmt::format("{} lacks the key '{}'", what_, key));
    }
    return YAML::Node(YAML::NodeType::Undefined);
  }
  found->second.consumed = true;
  return found->second.value;
}

void YamlFields::AddFinding(const YAML::Node& node, const std::string& message) {
  findings_.Add(LocationOf(file_, node), message);
}

void YamlFields::Finish() {
  for (const auto& [key, entry] : entries_) {
    if (!entry.consumed) AddFinding(entry.key, fmt::format("unknown key '{}' in {}", key, what_));
  }
}

const std::string* YamlFields::ScalarText(const YAML::Node& node, const std::string& key) {
  if (!node.IsDefined()) return nullptr;
  if (!node.IsScalar()) {
    AddFinding(node, fmt::format("'{}' must be a single value", key));
    return nullptr;
  }
  return &node.Scalar();
}

void YamlFields::Text(const std::string& key, std::string& value, Presence presence,
                      const TextCheck& check) {
  const YAML::Node node = Consume(key, presence);
  const std::string* text = ScalarText(node, key);
  if (text == nullptr) return;
  const absl::Status status = check ? check(*text) : absl::OkStatus();
  if (!status.ok()) {
    AddFinding(node, fmt::format("'{}': {}", key, std::string(status.message())));
    return;
  }
  value = *text;
}

void YamlFields::Flag(const std::string& key, bool& value) {
  const YAML::Node node = Consume(key);
  const std::string* text = ScalarText(node, key);
  if (text == nullptr) return;
  if (*text != "true" && *text != "false") {
    AddFinding(node, fmt::format("'{}' must be true or false, not '{}'", key, *text));
    return;
  }
  value = *text == "true";
}

void YamlFields::Unsigned(const std::string& key, uint64_t& value, uint64_t min, uint64_t max) {
  const YAML::Node node = Consume(key);
  const std::string* text = ScalarText(node, key);
  if (text == nullptr) return;
  uint64_t number = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
  if (error != std::errc() || end != text->data() + text->size()) {
    AddFinding(node, fmt::format("'{}' must be a whole number, not '{}'", key, *text));
  } else if (number < min || number > max) {
    AddFinding(node, fmt::format("'{}' is {}, out of bounds {}..{}", key, number, min, max));
  } else {
    value = number;
  }
}

void YamlFields::Unsigned(const std::string& key, uint32_t& value, uint32_t min, uint32_t max) {
  uint64_t wide = value;
  Unsigned(key, wide, min, max);
  value = static_cast<uint32_t>(wide);
}

void YamlFields::Double(const std::string& key, double& value, double min, double max) {
  const YAML::Node node = Consume(key);
  const std::string* text = ScalarText(node, key);
  if (text == nullptr) return;
  double number = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
  if (error != std::errc() || end != text->data() + text->size() || !std::isfinite(number)) {
    AddFinding(node, fmt::format("'{}' must be a number, not '{}'", key, *text));
  } else if (number < min || number > max) {
    AddFinding(node, fmt::format("'{}' is {}, out of bounds {}..{}", key, number, min, max));
  } else {
    value = number;
  }
}

void YamlFields::Bytes(const std::string& key, uint64_t& value, uint64_t min, uint64_t max) {
  const YAML::Node node = Consume(key);
  const std::string* text = ScalarText(node, key);
  if (text == nullptr) return;
  const absl::StatusOr<uint64_t> bytes = ParseSize(*text);
  if (!bytes.ok()) {
    AddFinding(node, fmt::format("'{}': {}", key, std::string(bytes.status().message())));
  } else if (*bytes < min || *bytes > max) {
    AddFinding(node, fmt::format("'{}' is {}, out of bounds {}..{}", key, *text, FormatSize(min),
                                 FormatSize(max)));
  } else {
    value = *bytes;
  }
}

void YamlFields::Time(const std::string& key, Duration& value, Duration min, Duration max) {
  const YAML::Node node = Consume(key);
  const std::string* text = ScalarText(node, key);
  if (text == nullptr) return;
  const absl::StatusOr<Duration> time = ParseDuration(*text);
  if (!time.ok()) {
    AddFinding(node, fmt::format("'{}': {}", key, std::string(time.status().message())));
  } else if (*time < min || *time > max) {
    AddFinding(node, fmt::format("'{}' is {}, out of bounds {}..{}", key, *text,
                                 FormatDuration(min), FormatDuration(max)));
  } else {
    value = *time;
  }
}

void YamlFields::TextList(const std::string& key, std::vector<std::string>& value,
                          const TextCheck& check) {
  const YAML::Node node = Consume(key);
  if (!node.IsDefined()) return;
  if (!node.IsSequence()) {
    AddFinding(node, fmt::format("'{}' must be a list", key));
    return;
  }
  std::vector<std::string> read;
  for (const YAML::Node& item : node) {
    const std::string* text = ScalarText(item, key);
    if (text == nullptr) continue;
    const absl::Status status = check ? check(*text) : absl::OkStatus();
    if (!status.ok()) AddFinding(item, fmt::format("'{}': {}", key, std::string(status.message())));
    read.push_back(*text);
  }
  value = std::move(read);
}

void YamlFields::TextMap(const std::string& key, std::map<std::string, std::string>& value,
                         const TextCheck& check_key, const TextCheck& check_value) {
  const YAML::Node node = Consume(key);
  if (!node.IsDefined()) return;
  YamlFields fields(file_, node, fmt::format("'{}'", key), findings_);
  std::map<std::string, std::string> read;
  for (const auto& [name, entry] : fields.entries_) {
    const absl::Status status = check_key(name);
    if (!status.ok()) AddFinding(entry.key, std::string(status.message()));
    fields.Text(name, read[name], Presence::kOptional, check_value);
  }
  value = std::move(read);
}

}  // namespace millstair
