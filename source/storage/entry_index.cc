#include "storage/entry_index.h"

#include <algorithm>
#include <cassert>

namespace millstair {

std::optional<Term> EntryIndex::TermAt(LogIndex index) const {
  if (index == base_) return base_term_;
  const IndexedEntry* entry = Find(index);
  if (entry == nullptr) return std::nullopt;
  return entry->term;
}

const IndexedEntry* EntryIndex::Find(LogIndex index) const {
  if (!Contains(index)) return nullptr;
  return &entries_[index.value() - base_.value() - 1];
}

void EntryIndex::Put(const LogEntry& entry) {
  assert(entry.index > base_ && entry.index <= Next(last()));
  while (last() >= entry.index) {
    DropPayload(entries_.back());
    entries_.pop_back();
  }
  entries_.push_back({entry.term, entry.type, {}, entry.payload});
  if (entry.payload != nullptr) cached_bytes_ += entry.payload->size();
  first_cached_ = std::min(first_cached_, entry.index);
}

void EntryIndex::Reset(LogIndex base, std::optional<Term> term) {
  base_ = base;
  base_term_ = term;
  entries_.clear();
  cached_bytes_ = 0;
  first_cached_ = Next(base);
}

void EntryIndex::DropPrefix(LogIndex index) {
  if (!Contains(index)) return;
  base_term_ = TermAt(index);
  while (base_ < index) {
    DropPayload(entries_.front());
    entries_.pop_front();
    base_ = Next(base_);
  }
  first_cached_ = std::max(first_cached_, Next(base_));
}

void EntryIndex::SetLocation(LogIndex index, EntryLocation location) {
  if (Contains(index)) At(index).location = location;
}

void EntryIndex::ShrinkCache() {
  while (cached_bytes_ > cache_limit_ && Contains(first_cached_)) {
    IndexedEntry& entry = At(first_cached_);
    if (entry.location.segment == 0) return;
    DropPayload(entry);
    first_cached_ = Next(first_cached_);
  }
}

void EntryIndex::DropPayload(IndexedEntry& entry) {
  if (entry.payload == nullptr) return;
  cached_bytes_ -= entry.payload->size();
  entry.payload = nullptr;
}

}  // namespace millstair
