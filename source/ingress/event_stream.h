/// Cuts the bytes of an event stream into events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace millstair {

class EventStreamSplitter {
 public:
  /// Takes the next bytes; returns the lines of each event that is whole now, without the empty
  /// line that ends it. Line ends are "\n".
  std::vector<std::string> Append(std::string_view bytes);
  /// Bytes of an event that is not whole yet.
  bool HasPartialEvent() const { return !pending_.empty(); }

 private:
  std::string pending_;
};

}  // namespace millstair
