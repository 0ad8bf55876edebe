/// Guards callbacks that may be called after their owner was destroyed.
#pragma once

#include <memory>
#include <utility>

namespace millstair {

/// Member of the owner; `Guard` wraps a callback so that it does nothing once the owner is
/// destroyed.
class AliveFlag {
 public:
  AliveFlag() : flag_(std::make_shared<char>(0)) {}
  AliveFlag(const AliveFlag&) = delete;
  AliveFlag& operator=(const AliveFlag&) = delete;

  template <class Callback>
  auto Guard(Callback callback) const {
    return GuardOr(std::move(callback), [](auto&&...) {});
  }

  /// As Guard, for arguments that must be handled: `otherwise` is called with them once the owner
  /// is destroyed.
  template <class Callback, class Otherwise>
  auto GuardOr(Callback callback, Otherwise otherwise) const {
    return [alive = std::weak_ptr<char>(flag_), callback = std::move(callback),
            otherwise = std::move(otherwise)](auto&&... arguments) mutable {
      if (alive.expired()) return otherwise(std::forward<decltype(arguments)>(arguments)...);
      callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<char> flag_;
};

}  // namespace millstair
