/// Splits the bytes of an event stream into events.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace millstair {

class EventStreamSplitter {
 public:
  /// Appends the next bytes; returns the lines of each event that is now complete, without the
  /// empty line that ends it. Lines end with a line feed.
  std::vector<std::string> Append(std::string_view bytes);
  /// Whether the last event is incomplete.
  bool HasPartialEvent() const { return !pending_.empty(); }
  /// Bytes of the last event if it is incomplete.
  size_t partial_bytes() const { return pending_.size(); }

 private:
  std::string pending_;
};

}  // namespace millstair
