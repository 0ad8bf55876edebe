/// Parses the fields of a YAML mapping and reports every error with its location: unknown, repeated
/// and missing keys, wrong types and units, values out of bounds.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "common/findings.h"
#include "common/time.h"
#include "yaml-cpp/yaml.h"

namespace millstair {

Location LocationOf(const std::string& file, const YAML::Node& node);

enum class Presence { kOptional, kRequired };

/// Validates the text of a scalar; the message of the status becomes the finding.
using TextCheck = std::function<absl::Status(std::string_view)>;

/// Fields of one mapping. Getters leave the value unchanged if its key is absent or invalid.
/// Finish() reports the keys that were not read.
class YamlFields {
 public:
  /// `what` names the mapping in findings, for example "Machine" or "spec".
  YamlFields(std::string file, const YAML::Node& node, std::string what, Findings& findings);

  void Text(const std::string& key, std::string& value, Presence presence, const TextCheck& check);
  void Flag(const std::string& key, bool& value);
  void Unsigned(const std::string& key, uint64_t& value, uint64_t min, uint64_t max);
  void Unsigned(const std::string& key, uint32_t& value, uint32_t min, uint32_t max);
  void Double(const std::string& key, double& value, double min, double max);
  void Bytes(const std::string& key, uint64_t& value, uint64_t min, uint64_t max);
  void Time(const std::string& key, Duration& value, Duration min, Duration max);
  void TextList(const std::string& key, std::vector<std::string>& value, const TextCheck& check);
  void TextMap(const std::string& key, std::map<std::string, std::string>& value,
               const TextCheck& check_key, const TextCheck& check_value);

  /// Returns the node under `key` and marks it as read; an undefined node if absent.
  YAML::Node Consume(const std::string& key, Presence presence = Presence::kOptional);
  /// Adds a finding at `node`.
  void AddFinding(const YAML::Node& node, const std::string& message);
  /// Reports unknown keys. Call once, last.
  void Finish();

 private:
  struct Entry {
    YAML::Node key;
    YAML::Node value;
    bool consumed = false;
  };

  /// Text of a scalar; null if `node` is undefined, and null with a finding if it is no scalar.
  const std::string* ScalarText(const YAML::Node& node, const std::string& key);

  std::string file_;
  YAML::Node node_;
  std::string what_;
  Findings& findings_;
  std::map<std::string, Entry> entries_;
};

}  // namespace millstair
