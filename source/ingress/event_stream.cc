#include "ingress/event_stream.h"

namespace millstair {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

}  // namespace

std::vector<std::string> EventStreamSplitter::Append(std::string_view bytes) {
  const size_t searched = pending_.empty() ? 0 : pending_.size() - 1;
  for (const char byte : bytes) {
    if (byte != '\r') pending_.push_back(byte);
  }
  std::vector<std::string> events;
  size_t begin = 0;
  size_t end = pending_.find(kEventEnd, searched);
  while (end != std::string::npos) {
    if (end > begin) events.push_back(pending_.substr(begin, end - begin));
    begin = end + kEventEnd.size();
    end = pending_.find(kEventEnd, begin);
  }
  pending_.erase(0, begin);
  return events;
}

}  // namespace millstair
