#include "tenants/tenant_directory.h"

#include <malloc.h>

#include <catch2/catch.hpp>

#include "fmt/format.h"

namespace millstair {
namespace {

TenantEntry Entry(const std::string& name, std::vector<std::string> keys,
                  std::optional<uint32_t> priority = std::nullopt) {
  return {TenantName(name), std::move(keys), priority};
}

std::string FindingsOf(const std::vector<TenantEntry>& entries) {
  Findings findings;
  TenantDirectory(entries).Validate(findings);
  return findings.ToString();
}

TEST_CASE("A key identifies exactly its tenant") {
  const TenantDirectory directory({Entry("a", {"key-1", "key-2"}, 1), Entry("b", {"key-3"})});
  REQUIRE(directory.FindByKey("key-2") != nullptr);
  CHECK(*directory.FindByKey("key-2") == Tenant{TenantName("a"), 1});
  CHECK(directory.FindByKey("key-3")->name == TenantName("b"));
  CHECK(directory.FindByKey("key-") == nullptr);
  CHECK(directory.FindByKey("key-22") == nullptr);
  CHECK(directory.FindByKey("") == nullptr);
  CHECK(directory.FindByName(TenantName("a"))->priority == 1);
  CHECK(directory.FindByName(TenantName("c")) == nullptr);
}

TEST_CASE("A caller needs a valid key except for public routes") {
  const TenantDirectory directory({Entry("a", {"key-1"})});
  CHECK(directory.Check("key-1", false).verdict == AccessVerdict::kAllowed);
  CHECK(directory.Check("key-1", false).tenant == TenantName("a"));
  CHECK(directory.Check("key-9", false).verdict == AccessVerdict::kUnknownKey);
  CHECK(directory.Check(std::nullopt, false).verdict == AccessVerdict::kUnknownKey);
  CHECK(directory.Check("key-9", true).verdict == AccessVerdict::kAllowed);
  CHECK(directory.Check("key-9", true).tenant == TenantName());
  CHECK(directory.Check("key-1", true).tenant == TenantName("a"));
}

TEST_CASE("Without tenants every key is unknown") {
  const TenantDirectory directory({});
  CHECK(directory.Check("key-1", false).verdict == AccessVerdict::kUnknownKey);
}

TEST_CASE("All invalid entries are reported without revealing keys") {
  CHECK(FindingsOf({Entry("a", {"key-1"}), Entry("b", {"key-2"})}).empty());
  const std::string findings = FindingsOf({Entry("a", {"secret-1", ""}), Entry("a", {"secret-2"}),
                                           Entry("c", {"secret-1"}), Entry("", {})});
  CHECK(findings.find("tenant a: an API key is empty") != std::string::npos);
  CHECK(findings.find("tenant a: the name stands twice") != std::string::npos);
  CHECK(findings.find("tenant c: an API key is held by tenant a already") != std::string::npos);
  CHECK(findings.find("a tenant has no name") != std::string::npos);
  CHECK(findings.find("secret") == std::string::npos);
  CHECK(FindingsOf({Entry("a", {"key-1", "key-1"})}) != "");
}

TEST_CASE("A fingerprint distinguishes keys without containing them") {
  CHECK(KeyFingerprint("key-1") == KeyFingerprint("key-1"));
  CHECK(KeyFingerprint("key-1") != KeyFingerprint("key-2"));
  CHECK(KeyFingerprint("key-1").size() == 8);
}

TEST_CASE("100,000 keys use at most 14 MB of heap") {
  constexpr size_t kKeys = 100'000;
  constexpr size_t kMostBytes = 14'000'000;
  std::vector<TenantEntry> entries(1);
  entries[0].name = TenantName("a");
  for (size_t i = 0; i < kKeys; ++i) {
    entries[0].api_keys.push_back(fmt::format("key-of-20-chars-{:06}", i).substr(2));
  }
  const size_t before = mallinfo2().uordblks;
  const TenantDirectory directory(entries);
  const size_t taken = mallinfo2().uordblks - before;
  WARN("heap bytes for each of 100,000 keys: " << taken / kKeys);
  CHECK(directory.key_count() == kKeys);
  CHECK(taken < kMostBytes);
}

}  // namespace
}  // namespace millstair
