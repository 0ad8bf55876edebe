/// Index of the entries of one log: term and location on disk of each, and the payloads of the
/// tail.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "storage/log_entry.h"

namespace millstair {

/// Location of an entry's payload on disk; segment 0 while it is not written yet.
struct EntryLocation {
  uint64_t segment = 0;
  uint64_t offset = 0;
  uint32_t size = 0;
};

struct IndexedEntry {
  Term term;
  EntryType type = EntryType::kNoop;
  EntryLocation location;
  /// Null once dropped from memory.
  EntryPayload payload;
};

/// Index of the entries (base, last].
class EntryIndex {
 public:
  explicit EntryIndex(uint64_t cache_bytes) : cache_limit_(cache_bytes) {}

  LogIndex base() const { return base_; }
  LogIndex last() const { return LogIndex(base_.value() + entries_.size()); }
  /// Nullopt outside of [base, last], and at the base if recovery has not found its term.
  std::optional<Term> TermAt(LogIndex index) const;
  /// Null outside of (base, last].
  const IndexedEntry* Find(LogIndex index) const;

  /// Adds `entry`, which replaces all entries from its index on. It must not leave a gap.
  void Put(const LogEntry& entry);
  /// Drops all entries and continues after `base`.
  void Reset(LogIndex base, std::optional<Term> term);
  void SetBaseTerm(Term term) { base_term_ = term; }
  /// Drops the entries up to and including `index`, which becomes the base.
  void DropPrefix(LogIndex index);
  /// Sets where an entry was written; ignored if the entry was dropped.
  void SetLocation(LogIndex index, EntryLocation location);
  /// Drops the oldest written payloads from memory until the cache is within its limit.
  void ShrinkCache();

 private:
  IndexedEntry& At(LogIndex index) { return entries_[index.value() - base_.value() - 1]; }
  bool Contains(LogIndex index) const { return index > base_ && index <= last(); }
  void DropPayload(IndexedEntry& entry);

  uint64_t cache_limit_;
  LogIndex base_;
  std::optional<Term> base_term_ = Term(0);
  std::deque<IndexedEntry> entries_;
  uint64_t cached_bytes_ = 0;
  /// All payloads at smaller indices were dropped.
  LogIndex first_cached_{1};
};

}  // namespace millstair
