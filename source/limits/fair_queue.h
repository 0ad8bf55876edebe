/// A bounded queue of requests, ordered by priority, then fairly among tenants, then by deadline.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"

namespace millstair {

/// Within a priority, tenants are served by start-time fair queueing with equal weights, and each
/// tenant's requests by earliest deadline. A tenant that waited for nothing does not save up its
/// share; what it leaves unused goes to the others. Value type without a clock.
class FairQueue {
 public:
  /// Identifies an entry; ids are never reused.
  using EntryId = uint64_t;

  struct Entry {
    /// 0 is the most urgent.
    int64_t priority = 0;
    /// Requests with the same name share one share of the capacity.
    std::string tenant;
    TimePoint deadline;
  };

  explicit FairQueue(size_t bound) : bound_(bound) {}

  void SetBound(size_t bound) { bound_ = bound; }
  size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

  /// Nullopt if the queue is full.
  std::optional<EntryId> Push(Entry entry);
  /// False if the entry is not in the queue.
  bool Erase(EntryId id);
  /// The entry that is served next; nullopt if the queue is empty.
  std::optional<EntryId> Next() const;
  /// Removes the entry that is served next, and charges its tenant.
  std::optional<EntryId> Pop();
  /// Charges the tenant for a request that did not have to wait.
  void RecordServed(int64_t priority, const std::string& tenant);

  /// Removes an entry whose deadline is not after `now`; nullopt if there is none.
  std::optional<EntryId> PopOverdue(TimePoint now);
  /// Earliest deadline of all entries; nullopt if the queue is empty.
  std::optional<TimePoint> EarliestDeadline() const;

  /// Number of entries that would be served before `entry` if it were added now.
  size_t Ahead(const Entry& entry) const;
  /// All entries in the order in which they would be served if none were added.
  std::vector<EntryId> Order() const;

 private:
  struct Rank {
    TimePoint deadline;
    EntryId id = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;  // NOLINT
  };
  struct Tenant {
    /// Virtual time at which the tenant's next request starts.
    double start = 0;
    std::set<Rank> waiting;
  };
  /// The requests of one priority.
  struct Class {
    /// Start of the request served last.
    double virtual_time = 0;
    std::map<std::string, Tenant> tenants;
  };

  /// The tenant that is served next; null if none waits.
  static const std::string* NextTenant(const Class& members);
  static void Charge(Class& members, Tenant& tenant);
  /// Order of service if `extra` were added; its id is 0.
  std::vector<EntryId> OrderWith(const Entry* extra) const;
  static void Insert(Class& members, const Entry& entry, EntryId id);
  static void ForgetIdleTenants(Class& members);

  size_t bound_;
  EntryId next_id_ = 1;
  std::map<int64_t, Class> classes_;
  std::unordered_map<EntryId, Entry> entries_;
  /// All entries by deadline.
  std::set<Rank> by_deadline_;
};

}  // namespace millstair
