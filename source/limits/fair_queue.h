/// A bounded queue of requests, ordered by priority, then fairly among tenants, then by whether
/// they can still meet their target, then by deadline.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "limits/target_class.h"

namespace millstair {

/// Within a priority, tenants are served by start-time fair queueing with equal weights. A tenant's
/// share is divided by weight between its requests that can still meet their target and its late
/// ones, each class served by earliest deadline. Among tenants with equal claims, the next requests
/// of which are of different classes, the classes share by the same weights. A tenant or class that
/// waited for nothing does not save up its share; what it leaves unused goes to the others. Value
/// type without a clock.
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
    TargetClass target_class = TargetClass::kInTime;
  };

  explicit FairQueue(size_t bound) : bound_(bound) {}

  void SetBound(size_t bound) { bound_ = bound; }
  size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

  /// Nullopt if the queue is full.
  std::optional<EntryId> Push(Entry entry);
  /// False if the entry is not in the queue.
  bool Erase(EntryId id);
  /// Moves an entry to the late class; false if it is not in the queue.
  bool MoveToLate(EntryId id);
  /// The entry that is served next; nullopt if the queue is empty.
  std::optional<EntryId> Next() const;
  /// Removes the entry that is served next, and charges its tenant.
  std::optional<EntryId> Pop();
  /// Charges the tenant and the class of a request that did not have to wait.
  void RecordServed(int64_t priority, const std::string& tenant,
                    TargetClass target_class = TargetClass::kInTime);

  /// Removes an entry whose deadline is not after `now`; nullopt if there is none.
  std::optional<EntryId> PopOverdue(TimePoint now);
  /// Earliest deadline of all entries; nullopt if the queue is empty.
  std::optional<TimePoint> EarliestDeadline() const;

  /// Entries that are served before another one.
  struct Place {
    size_t ahead = 0;
    /// Those of the late class among them.
    size_t late_ahead = 0;
  };
  /// What would be served before `entry` if it were added now.
  Place PlaceOf(const Entry& entry) const;
  /// Number of entries that would be served before `entry` if it were added now.
  size_t Ahead(const Entry& entry) const { return PlaceOf(entry).ahead; }
  /// Whether a late entry that is served next would take the share of requests in time, none of
  /// which waits.
  bool TakesShareOfInTime(const Entry& entry) const;
  /// An entry of the queue.
  const Entry& Get(EntryId id) const { return entries_.at(id); }
  /// Number of entries of a class.
  size_t Waiting(TargetClass target_class) const { return waiting_[IndexOf(target_class)]; }
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
    std::array<std::set<Rank>, kTargetClasses> waiting;
    TargetClassShares shares;
  };
  /// The requests of one priority.
  struct Level {
    /// Start of the request served last.
    double virtual_time = 0;
    std::map<std::string, Tenant> tenants;
    /// Shares among tenants with equal claims.
    TargetClassShares shares;
  };
  /// The next request of a tenant.
  struct Offer {
    const std::string* tenant = nullptr;
    TargetClass target_class = TargetClass::kInTime;
    Rank rank;
  };

  static bool IsIdle(const Tenant& tenant);
  /// The offer of a tenant that has requests waiting.
  static Offer OfferOf(const std::string& name, const Tenant& tenant);
  /// What is served next; nullopt if nothing waits.
  static std::optional<Offer> NextOffer(const Level& level);
  static void Charge(Level& level, Tenant& tenant, TargetClass target_class);
  /// Order of service if `extra` were added; its id is 0.
  std::vector<EntryId> OrderWith(const Entry* extra) const;
  static void Insert(Level& level, const Entry& entry, EntryId id);
  static void ForgetIdleTenants(Level& level);

  size_t bound_;
  EntryId next_id_ = 1;
  std::map<int64_t, Level> levels_;
  std::unordered_map<EntryId, Entry> entries_;
  /// All entries by deadline.
  std::set<Rank> by_deadline_;
  /// Number of entries of each class.
  std::array<size_t, kTargetClasses> waiting_{};
};

}  // namespace millstair
