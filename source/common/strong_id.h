/// Strong types for identifiers and counters, which prevent, for example, passing a term as an
/// index.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

#include "fmt/format.h"

namespace millstair {

/// A value of type `Rep` that only compares and assigns with values of the same `Tag`.
template <class Tag, class Rep>
class StrongId {
 public:
  using ValueType = Rep;

  constexpr StrongId() = default;
  constexpr explicit StrongId(Rep value) : value_(std::move(value)) {}

  constexpr const Rep& value() const { return value_; }

  friend constexpr auto operator<=>(const StrongId&, const StrongId&) = default;  // NOLINT
  friend constexpr bool operator==(const StrongId&, const StrongId&) = default;

  template <class H>
  friend H AbslHashValue(H state, const StrongId& id) {
    return H::combine(std::move(state), id.value_);
  }

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  Rep value_{};
};

/// The successor of a counter.
template <class Tag, class Rep>
constexpr StrongId<Tag, Rep> Next(StrongId<Tag, Rep> id) {
  return StrongId<Tag, Rep>(id.value() + 1);
}

}  // namespace millstair

template <class Tag, class Rep>
struct fmt::formatter<millstair::StrongId<Tag, Rep>> : fmt::formatter<Rep> {
  template <class Context>
  auto format(const millstair::StrongId<Tag, Rep>& id, Context& context) const {
    return fmt::formatter<Rep>::format(id.value(), context);
  }
};

template <class Tag, class Rep>
struct std::hash<millstair::StrongId<Tag, Rep>> {
  std::size_t operator()(const millstair::StrongId<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value());
  }
};
