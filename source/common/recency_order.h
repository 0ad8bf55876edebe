/// Keys in the order of their last use, for caches that evict the least recently used entry.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

namespace millstair {

template <class Key>
class RecencyOrder {
 public:
  /// Adds `key`, or makes it the most recent one.
  void Touch(const Key& key) {
    const auto [known, added] = used_at_.try_emplace(key, next_);
    if (!added) by_use_.erase(std::exchange(known->second, next_));
    by_use_.emplace(next_++, key);
  }

  void Erase(const Key& key) {
    const auto known = used_at_.find(key);
    if (known == used_at_.end()) return;
    by_use_.erase(known->second);
    used_at_.erase(known);
  }

  /// Removes and returns the least recent key; there must be one.
  Key TakeOldest() {
    Key oldest = std::move(by_use_.extract(by_use_.begin()).mapped());
    used_at_.erase(oldest);
    return oldest;
  }

  size_t size() const { return used_at_.size(); }

  void Clear() {
    used_at_.clear();
    by_use_.clear();
  }

 private:
  uint64_t next_ = 0;
  std::map<Key, uint64_t> used_at_;
  std::map<uint64_t, Key> by_use_;
};

}  // namespace millstair
