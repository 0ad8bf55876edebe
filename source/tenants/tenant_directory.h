/// Who may call: the tenants of a configuration and the API keys that each of them holds.
///
/// Keys are looked up by a digest that is seeded for each process, and the key itself is then
/// compared in constant time, so that the time of an answer tells nothing about a key. The
/// operators' document, which holds the keys in the clear, has to be given back whole; it is the
/// only place where they are stored. No key is logged: lines carry KeyFingerprint.
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

/// A tenant as the configuration states it.
struct TenantEntry {
  TenantName name;
  std::vector<std::string> api_keys;
  /// Goes before the priority of a route; 0 is the most urgent.
  std::optional<uint32_t> priority;
};

/// A tenant as nodes hold it.
struct Tenant {
  TenantName name;
  std::optional<uint32_t> priority;
  friend bool operator==(const Tenant&, const Tenant&) = default;
};

/// What is known of a caller.
enum class AccessVerdict : uint8_t {
  kAllowed,
  kUnknownKey,  ///< no key, or one that no tenant holds
};

struct Access {
  AccessVerdict verdict = AccessVerdict::kAllowed;
  /// Empty for callers of a public route without a known key.
  TenantName tenant;
};

/// Short digest of a key, for logs: tells keys apart and does not give them away.
std::string KeyFingerprint(std::string_view key);

/// Immutable once built. Takes about 110 bytes for each key of 20 characters (tenants_test measures
/// the heap of 100,000 keys).
class TenantDirectory {
 public:
  explicit TenantDirectory(const std::vector<TenantEntry>& entries);

  /// Adds what is wrong with the entries as a whole: a key that two tenants hold or one holds
  /// twice, a name that stands twice or is empty, an empty key. Names tenants, never a key.
  void Validate(Findings& findings) const;

  /// Null if no tenant holds `key`.
  const Tenant* FindByKey(std::string_view key) const;
  const Tenant* FindByName(const TenantName& name) const;
  /// Who calls with `key` (none: without one). Public routes need none.
  Access Check(std::optional<std::string_view> key, bool is_public) const;

  size_t key_count() const { return keys_.size(); }

 private:
  struct KeyEntry {
    std::string key;
    uint32_t tenant = 0;
  };

  void AddKey(const std::string& key, uint32_t tenant);

  /// Drawn at each construction: digests can't be foreseen by callers.
  uint64_t seed_ = 0;
  std::vector<Tenant> tenants_;
  std::unordered_map<TenantName, uint32_t> by_name_;
  /// By digest; a digest that two keys share is reported as a conflict.
  std::unordered_map<uint64_t, KeyEntry> keys_;
  std::vector<std::string> errors_;
};

}  // namespace millstair
