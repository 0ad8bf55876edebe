#include "tenants/tenant_directory.h"

#include <random>

#include "fmt/format.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace millstair {
namespace {

uint64_t DrawSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

uint64_t DigestOf(std::string_view key, uint64_t seed) {
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned char difference = 0;
  for (size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

std::string KeyFingerprint(std::string_view key) {
  constexpr uint64_t kFingerprintMask = 0xffffffff;
  return fmt::format("{:08x}", DigestOf(key, 0) & kFingerprintMask);
}

TenantDirectory::TenantDirectory(const std::vector<TenantEntry>& entries) : seed_(DrawSeed()) {
  size_t keys = 0;
  for (const TenantEntry& entry : entries) keys += entry.api_keys.size();
  tenants_.reserve(entries.size());
  keys_.reserve(keys);
  for (const TenantEntry& entry : entries) {
    const auto index = static_cast<uint32_t>(tenants_.size());
    if (entry.name.value().empty()) errors_.push_back("a tenant has no name");
    if (!by_name_.emplace(entry.name, index).second) {
      errors_.push_back(fmt::format("tenant {}: the name stands twice", entry.name));
    }
    tenants_.push_back({entry.name, entry.priority});
    for (const std::string& key : entry.api_keys) AddKey(key, index);
  }
}

void TenantDirectory::AddKey(const std::string& key, uint32_t tenant) {
  const TenantName& name = tenants_[tenant].name;
  if (key.empty()) {
    errors_.push_back(fmt::format("tenant {}: an API key is empty", name));
    return;
  }
  const auto [held, added] = keys_.try_emplace(DigestOf(key, seed_), KeyEntry{key, tenant});
  if (added) return;
  errors_.push_back(fmt::format("tenant {}: an API key is held by tenant {} already", name,
                                tenants_[held->second.tenant].name));
}

void TenantDirectory::Validate(Findings& findings) const {
  for (const std::string& error : errors_) findings.Add({}, error);
}

const Tenant* TenantDirectory::FindByKey(std::string_view key) const {
  const auto held = keys_.find(DigestOf(key, seed_));
  if (held == keys_.end() || !EqualInConstantTime(held->second.key, key)) return nullptr;
  return &tenants_[held->second.tenant];
}

const Tenant* TenantDirectory::FindByName(const TenantName& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &tenants_[found->second];
}

Access TenantDirectory::Check(std::optional<std::string_view> key, bool is_public) const {
  const Tenant* tenant = key ? FindByKey(*key) : nullptr;
  if (tenant != nullptr) return {AccessVerdict::kAllowed, tenant->name};
  return {is_public ? AccessVerdict::kAllowed : AccessVerdict::kUnknownKey, TenantName()};
}

}  // namespace millstair
