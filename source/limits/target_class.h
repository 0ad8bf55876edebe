/// Divides the share of one tenant between requests that can still be answered within their target
/// and the others.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace millstair {

/// Whether a request can still be answered within its target.
enum class TargetClass : uint8_t {
  kInTime,
  kLate,
};

inline constexpr size_t kTargetClasses = 2;
inline constexpr size_t IndexOf(TargetClass target_class) {
  return static_cast<size_t>(target_class);
}

/// Share of a class while requests of both classes wait: 3 to 1. More than 60% of what is answered
/// is asked to be within the target, and late requests must not starve.
inline constexpr double ShareOf(TargetClass target_class) {
  return target_class == TargetClass::kInTime ? 0.75 : 0.25;
}

/// Start-time fair queueing of the two classes by weight. What one class leaves unused goes to the
/// other, and neither saves up a claim while nothing of it waits. Value type.
class TargetClassShares {
 public:
  /// The class that is served next while requests of both wait.
  TargetClass Next() const;
  /// Charges a class for a request that is served.
  void Charge(TargetClass served);

 private:
  double StartOf(TargetClass target_class) const;

  /// Start of the request served last.
  double virtual_time_ = 0;
  /// Virtual time at which the next request of each class starts, unless nothing of it waited.
  std::array<double, kTargetClasses> start_{};
};

}  // namespace millstair
