/// Guards callbacks that may be called after their owner has gone.
#pragma once

#include <memory>
#include <utility>

namespace millstair {

/// Member of the owner; `Guard` wraps a callback so that it does nothing once the owner is gone.
class AliveFlag {
 public:
  AliveFlag() : flag_(std::make_shared<char>(0)) {}
  AliveFlag(const AliveFlag&) = delete;
  AliveFlag& operator=(const AliveFlag&) = delete;

  template <class Callback>
  auto Guard(Callback callback) const {
    return [alive = std::weak_ptr<char>(flag_),
            callback = std::move(callback)](auto&&... arguments) mutable {
      if (alive.expired()) return;
      callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<char> flag_;
};

}  // namespace millstair
