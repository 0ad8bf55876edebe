#include "resources/scalar_text.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include "fmt/format.h"

namespace millstair {
namespace {

constexpr size_t kMaxNameLength = 128;

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

absl::Status CheckWord(std::string_view text, std::string_view what, std::string_view further) {
  if (text.empty()) return absl::InvalidArgumentError(fmt::format("{} is empty", what));
  if (text.size() > kMaxNameLength) {
    return absl::InvalidArgumentError(
        fmt::format("{} is longer than {} characters", what, kMaxNameLength));
  }
  const bool allowed = std::all_of(text.begin(), text.end(), [&](char c) {
    return IsLetterOrDigit(c) || further.find(c) != std::string_view::npos;
  });
  if (!allowed || !IsLetterOrDigit(text.front())) {
    return absl::InvalidArgumentError(
        fmt::format("{} '{}' may hold only letters, digits and '{}', and begins with a letter or "
                    "digit",
                    what, text, further));
  }
  return absl::OkStatus();
}

bool IsIpNumber(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

absl::Status CheckPort(std::string_view text, std::string_view address) {
  uint32_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  const bool whole_number = error == std::errc() && end == text.data() + text.size();
  if (!whole_number || port == 0 || port > std::numeric_limits<uint16_t>::max()) {
    return absl::InvalidArgumentError(
        fmt::format("port '{}' in '{}' is not a number from 1 to 65535", text, address));
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status CheckIpNumber(std::string_view text) {
  if (IsIpNumber(std::string(text))) return absl::OkStatus();
  return absl::InvalidArgumentError(
      fmt::format("'{}' is not an IP number (host names are not resolved)", text));
}

absl::Status CheckIpAndPort(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError(fmt::format("'{}' lacks a port (ip:port)", text));
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const absl::Status ip = CheckIpNumber(host);
  if (!ip.ok()) return ip;
  return CheckPort(text.substr(colon + 1), text);
}

absl::Status CheckName(std::string_view text) { return CheckWord(text, "name", "._-"); }

absl::Status CheckLabelKey(std::string_view text) { return CheckWord(text, "label key", "._-/"); }

absl::Status CheckLabelValue(std::string_view text) {
  return text.empty() ? absl::OkStatus() : CheckWord(text, "label value", "._-/");
}

}  // namespace millstair
