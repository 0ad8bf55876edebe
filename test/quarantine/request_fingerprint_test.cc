#include "quarantine/request_fingerprint.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace millstair {
namespace {

RequestFingerprint Of(const std::string& method, const std::string& host, const std::string& target,
                      const std::string& caller, const std::string& body) {
  const TenantName tenant(caller);
  return FingerprintOf({method, host, target, tenant, body});
}

TEST_CASE("The same request has the same fingerprint, and each part changes it") {
  const RequestFingerprint first = Of("POST", "a", "/p", "t", "body");
  CHECK(first == Of("POST", "a", "/p", "t", "body"));
  const std::set<RequestFingerprint> all = {
      first,
      Of("GET", "a", "/p", "t", "body"),
      Of("POST", "b", "/p", "t", "body"),
      Of("POST", "a", "/q", "t", "body"),
      Of("POST", "a", "/p", "u", "body"),
      Of("POST", "a", "/p", "t", "other"),
  };
  CHECK(all.size() == 6);
}

TEST_CASE("Moving the boundary between parts changes the fingerprint") {
  CHECK(Of("POST", "a", "/p", "t", "x") != Of("POST", "a", "/pt", "", "x"));
  CHECK(Of("POST", "a", "/p", "1:x", "") != Of("POST", "a", "/p", "", "1:x"));
}

TEST_CASE("A long body counts by its start, its end and its length") {
  const std::string body(3 * kMaxFingerprintedBytes, 'x');
  std::string other_end = body;
  other_end.back() = 'y';
  const RequestFingerprint first = Of("POST", "a", "/p", "", body);
  CHECK(first == Of("POST", "a", "/p", "", body));
  CHECK(first != Of("POST", "a", "/p", "", other_end));
  CHECK(first != Of("POST", "a", "/p", "", body + "x"));
}

}  // namespace
}  // namespace millstair
