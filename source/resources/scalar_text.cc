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

struct Unit {
  std::string_view name;
  uint64_t factor;
};

/// Factors are microseconds; largest first.
constexpr std::array<Unit, 5> kDurationUnits = {
    {{"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};
constexpr std::array<Unit, 7> kByteUnits = {{{"B", 1},
                                             {"KB", 1'000},
                                             {"MB", 1'000'000},
                                             {"GB", 1'000'000'000},
                                             {"KiB", 1ULL << 10U},
                                             {"MiB", 1ULL << 20U},
                                             {"GiB", 1ULL << 30U}}};

struct NumberAndUnit {
  uint64_t number = 0;
  std::string_view unit;
};

absl::StatusOr<NumberAndUnit> SplitNumber(std::string_view text) {
  NumberAndUnit split;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), split.number);
  if (error == std::errc::result_out_of_range) {
    return absl::InvalidArgumentError(fmt::format("number '{}' is too large", text));
  }
  if (error != std::errc()) {
    return absl::InvalidArgumentError(fmt::format("'{}' does not begin with a whole number", text));
  }
  split.unit = text.substr(static_cast<size_t>(end - text.data()));
  return split;
}

template <size_t N>
absl::StatusOr<uint64_t> Scale(std::string_view text, const NumberAndUnit& split,
                               const std::array<Unit, N>& units, uint64_t limit,
                               std::string_view allowed) {
  for (const Unit& unit : units) {
    if (unit.name != split.unit) continue;
    if (split.number > limit / unit.factor) {
      return absl::InvalidArgumentError(fmt::format("'{}' is too large", text));
    }
    return split.number * unit.factor;
  }
  return absl::InvalidArgumentError(
      split.unit.empty() ? fmt::format("'{}' lacks a unit ({})", text, allowed)
                         : fmt::format("wrong unit '{}' in '{}' ({})", split.unit, text, allowed));
}

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

absl::Status CheckPort(std::string_view text, std::string_view whole) {
  uint32_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  const bool whole_number = error == std::errc() && end == text.data() + text.size();
  if (!whole_number || port == 0 || port > std::numeric_limits<uint16_t>::max()) {
    return absl::InvalidArgumentError(
        fmt::format("port '{}' in '{}' is not a number from 1 to 65535", text, whole));
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<Duration> ParseDuration(std::string_view text) {
  if (text == "0") return Duration{0};
  const absl::StatusOr<NumberAndUnit> split = SplitNumber(text);
  if (!split.ok()) return split.status();
  constexpr auto kLimit = static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  const absl::StatusOr<uint64_t> micros =
      Scale(text, *split, kDurationUnits, kLimit, "us, ms, s, m or h");
  if (!micros.ok()) return micros.status();
  return Duration{static_cast<int64_t>(*micros)};
}

std::string FormatDuration(Duration duration) {
  const auto micros = static_cast<uint64_t>(duration.count());
  if (micros == 0) return "0s";
  for (const Unit& unit : kDurationUnits) {
    if (micros % unit.factor == 0) return fmt::format("{}{}", micros / unit.factor, unit.name);
  }
  return fmt::format("{}us", micros);
}

absl::StatusOr<uint64_t> ParseBytes(std::string_view text) {
  absl::StatusOr<NumberAndUnit> split = SplitNumber(text);
  if (!split.ok()) return split.status();
  if (split->unit.empty()) return split->number;
  return Scale(text, *split, kByteUnits, std::numeric_limits<uint64_t>::max(),
               "B, KB, MB, GB, KiB, MiB or GiB");
}

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
