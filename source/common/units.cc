#include "common/units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <string>

#include "fmt/format.h"

namespace millstair {
namespace {

struct Unit {
  std::string_view name;
  /// In microseconds or bytes.
  int64_t factor;
};

constexpr std::array<Unit, 5> kDurationUnits = {
    {{"h", 3600'000'000}, {"min", 60'000'000}, {"s", 1'000'000}, {"ms", 1000}, {"us", 1}}};
constexpr std::array<Unit, 4> kSizeUnits = {
    {{"GiB", 1LL << 30}, {"MiB", 1LL << 20}, {"KiB", 1LL << 10}, {"B", 1}}};

struct Quantity {
  double number = 0;
  std::string_view unit;
};

bool Split(std::string_view text, Quantity* quantity) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(),
                                            quantity->number, std::chars_format::fixed);
  quantity->unit = text.substr(static_cast<size_t>(end - text.data()));
  return error == std::errc() && quantity->number >= 0;
}

template <size_t kCount>
std::string UnitNames(const std::array<Unit, kCount>& units) {
  std::string names;
  for (size_t i = kCount; i > 0; --i) {
    if (!names.empty()) names += i == 1 ? " or " : ", ";
    names += units[i - 1].name;
  }
  return names;
}

template <size_t kCount>
absl::StatusOr<double> ParseQuantity(std::string_view text, const std::array<Unit, kCount>& units,
                                     std::string_view what) {
  Quantity quantity;
  if (!Split(text, &quantity)) {
    return absl::InvalidArgumentError(fmt::format(
        "\"{}\" is not a {}: expected a number with unit {}", text, what, UnitNames(units)));
  }
  for (const Unit& unit : units) {
    if (unit.name == quantity.unit) return quantity.number * static_cast<double>(unit.factor);
  }
  if (quantity.unit.empty()) {
    return absl::InvalidArgumentError(
        fmt::format("\"{}\" has no unit: expected {}", text, UnitNames(units)));
  }
  return absl::InvalidArgumentError(fmt::format("\"{}\" has the wrong unit \"{}\": expected {}",
                                                text, quantity.unit, UnitNames(units)));
}

template <size_t kCount>
std::string FormatQuantity(int64_t value, const std::array<Unit, kCount>& units) {
  for (const Unit& unit : units) {
    if (value >= unit.factor && value % unit.factor == 0) {
      return fmt::format("{}{}", value / unit.factor, unit.name);
    }
  }
  return fmt::format("{}{}", value, units.back().name);
}

/// Larger values would overflow 64-bit integers.
constexpr double kMaxQuantity = 4e18;

}  // namespace

absl::StatusOr<Duration> ParseDuration(std::string_view text) {
  const absl::StatusOr<double> microseconds = ParseQuantity(text, kDurationUnits, "duration");
  if (!microseconds.ok()) return microseconds.status();
  if (*microseconds > kMaxQuantity) {
    return absl::InvalidArgumentError(fmt::format("\"{}\" is too long", text));
  }
  return Duration(std::llround(*microseconds));
}

absl::StatusOr<uint64_t> ParseSize(std::string_view text) {
  const absl::StatusOr<double> bytes = ParseQuantity(text, kSizeUnits, "size");
  if (!bytes.ok()) return bytes.status();
  if (*bytes > kMaxQuantity || *bytes != std::floor(*bytes)) {
    return absl::InvalidArgumentError(fmt::format("\"{}\" is not a whole number of bytes", text));
  }
  return static_cast<uint64_t>(*bytes);
}

absl::StatusOr<uint64_t> ParseCount(std::string_view text) {
  uint64_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) {
    return absl::InvalidArgumentError(
        fmt::format("\"{}\" is not a whole number without a unit", text));
  }
  return count;
}

std::string FormatDuration(Duration duration) {
  return FormatQuantity(duration.count(), kDurationUnits);
}

std::string FormatSize(uint64_t bytes) {
  return FormatQuantity(static_cast<int64_t>(bytes), kSizeUnits);
}

}  // namespace millstair
