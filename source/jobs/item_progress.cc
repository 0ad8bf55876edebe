#include "jobs/item_progress.h"

#include <algorithm>

namespace millstair {

void ItemProgress::Append(const StreamEvent& event) {
  if (events > 0) text.push_back('\n');
  text += event.data;
  events = event.id;
  if (std::find(versions.begin(), versions.end(), version) == versions.end()) {
    versions.push_back(version);
  }
}

}  // namespace millstair
