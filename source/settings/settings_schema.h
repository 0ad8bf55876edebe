/// Schema of the settings: kind, unit, default, bounds and description of every key. A test checks
/// that docs/CONFIGURATION.md matches it. Internal to settings/ and its tests.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace millstair {

enum class SettingKind : uint8_t {
  kName,          ///< letters, digits, '-', '_', '.'
  kAddress,       ///< ip:port
  kPath,          ///< a folder
  kChoice,        ///< one of the words in `choices`
  kDuration,      ///< with unit
  kSize,          ///< with unit
  kCount,         ///< whole number
  kNames,         ///< list of names
  kRoles,         ///< list of roles
  kRoutes,        ///< list of ip:port=ip:port
  kControlNodes,  ///< list of node, address, zone
  kAddresses,     ///< list of ip:port
  kPortAndPath,   ///< port/path
};

struct SettingKey {
  /// Dotted path such as "peer.listen".
  std::string_view key;
  SettingKind kind = SettingKind::kName;
  bool required = false;
  /// Bounds in microseconds, bytes or as a count; for numbers only.
  uint64_t min = 0;
  uint64_t max = 0;
  std::string_view description;
  /// Access to the member of ServerSettings that the key sets; which one is set depends on the
  /// kind.
  std::function<std::string&(ServerSettings&)> text;
  std::function<Duration&(ServerSettings&)> duration;
  std::function<uint64_t&(ServerSettings&)> number;
  std::vector<std::string_view> choices;
  /// Description of the default if it is not a value.
  std::string_view default_description;
};

const std::vector<SettingKey>& SettingKeys();
/// Null if there is no such key.
const SettingKey* FindSettingKey(std::string_view key);
/// The flag of a key: "peer-listen" for "peer.listen".
std::string FlagName(std::string_view key);
/// The default as text: "250ms", "none", ...
std::string DefaultText(const SettingKey& key);
/// The bounds as text: "10ms to 10s"; empty if there are none.
std::string BoundsText(const SettingKey& key);
/// Description of valid values: "duration (us, ms, s, min, h)".
std::string_view KindText(SettingKind kind);

}  // namespace millstair
