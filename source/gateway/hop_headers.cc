#include "gateway/hop_headers.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace millstair {
namespace {

constexpr std::array<std::string_view, 9> kHopHeaders = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade",    "Proxy-Connection"};

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::any_of(names.begin(), names.end(), [&name](const std::string& entry) {
    return absl::EqualsIgnoreCase(entry, name);
  });
}

}  // namespace

HttpHeaders WithoutHopHeaders(const HttpHeaders& headers) {
  std::vector<std::string> dropped(kHopHeaders.begin(), kHopHeaders.end());
  for (const HttpHeader& header : headers) {
    if (!absl::EqualsIgnoreCase(header.name, "Connection")) continue;
    const std::vector<std::string> names = absl::StrSplit(header.value, ',');
    for (const std::string& name : names) {
      dropped.emplace_back(absl::StripAsciiWhitespace(name));
    }
  }
  HttpHeaders kept;
  for (const HttpHeader& header : headers) {
    if (!Contains(dropped, header.name)) kept.push_back(header);
  }
  return kept;
}

}  // namespace millstair
