#include "jobs/partial_text_cache.h"

#include <algorithm>
#include <utility>

namespace millstair {
namespace {

constexpr size_t kMaxTexts = 2000;

}  // namespace

void PartialTextCache::Store(const OwnedItem& item, ItemProgress progress) {
  texts_[item] = std::move(progress);
  order_.Touch(item);
  if (order_.size() > kMaxTexts) texts_.erase(order_.TakeOldest());
}

std::optional<ItemProgress> PartialTextCache::Take(const OwnedItem& item,
                                                   WeightVersion min_version) {
  const auto found = texts_.find(item);
  if (found == texts_.end()) return std::nullopt;
  ItemProgress progress = std::move(found->second);
  texts_.erase(found);
  order_.Erase(item);
  const auto& versions = progress.versions;
  const bool fits =
      std::all_of(versions.begin(), versions.end(),
                  [min_version](WeightVersion version) { return version >= min_version; });
  if (!fits) return std::nullopt;
  return progress;
}

uint64_t PartialTextCache::EventsOf(const OwnedItem& item) const {
  const auto found = texts_.find(item);
  return found == texts_.end() ? 0 : found->second.events;
}

void PartialTextCache::Clear() {
  texts_.clear();
  order_.Clear();
}

}  // namespace millstair
