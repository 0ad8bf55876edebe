/// Authentication of callers: the tenants of a configuration and their API keys.
///
/// Keys are looked up by a randomly seeded digest and then compared in constant time, so that
/// response times do not leak keys. Plain-text keys are stored only in the operators' document,
/// which can be read back unchanged. Logs contain KeyFingerprint, never a key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/findings.h"
#include "common/ids.h"

namespace millstair {

/// A tenant in the configuration.
struct TenantEntry {
  TenantName name;
  std::vector<std::string> api_keys;
  /// Overrides the priority of a route; 0 is the most urgent.
  std::optional<uint32_t> priority;
};

/// A tenant without its keys.
struct Tenant {
  TenantName name;
  std::optional<uint32_t> priority;
  friend bool operator==(const Tenant&, const Tenant&) = default;
};

enum class AccessVerdict : uint8_t {
  kAllowed,
  kUnknownKey,  ///< no key, or one that no tenant holds
};

struct Access {
  AccessVerdict verdict = AccessVerdict::kAllowed;
  /// Empty for callers of a public route without a known key.
  TenantName tenant;
};

/// Short digest that identifies a key in logs without revealing it.
std::string KeyFingerprint(std::string_view key);

/// Immutable. Uses about 110 bytes per key of 20 characters.
class TenantDirectory {
 public:
  explicit TenantDirectory(const std::vector<TenantEntry>& entries);

  /// Reports duplicate and empty keys and duplicate and empty names. Findings name tenants, never
  /// keys.
  void Validate(Findings& findings) const;

  /// Null if no tenant holds `key`.
  const Tenant* FindByKey(std::string_view key) const;
  const Tenant* FindByName(const TenantName& name) const;
  /// Authenticates a caller by its `key`, if it sent one. Public routes need none.
  Access Check(std::optional<std::string_view> key, bool is_public) const;

  size_t key_count() const { return keys_.size(); }

 private:
  struct KeyEntry {
    std::string key;
    uint32_t tenant = 0;
  };

  void AddKey(const std::string& key, uint32_t tenant);

  /// Random, so that callers can't predict digests.
  uint64_t seed_ = 0;
  std::vector<Tenant> tenants_;
  std::unordered_map<TenantName, uint32_t> by_name_;
  /// By digest; a digest collision is reported as a duplicate key.
  std::unordered_map<uint64_t, KeyEntry> keys_;
  std::vector<std::string> errors_;
};

}  // namespace millstair
