#include "limits/fair_queue.h"

#include <algorithm>
#include <utility>

namespace millstair {

std::optional<FairQueue::EntryId> FairQueue::Push(Entry entry) {
  if (entries_.size() >= bound_) return std::nullopt;
  const EntryId id = next_id_++;
  Insert(levels_[entry.priority], entry, id);
  by_deadline_.insert({entry.deadline, id});
  ++waiting_[IndexOf(entry.target_class)];
  entries_.emplace(id, std::move(entry));
  return id;
}

void FairQueue::Insert(Level& level, const Entry& entry, EntryId id) {
  Tenant& tenant = level.tenants[entry.tenant];
  if (IsIdle(tenant)) tenant.start = std::max(tenant.start, level.virtual_time);
  tenant.waiting[IndexOf(entry.target_class)].insert({entry.deadline, id});
}

bool FairQueue::Erase(EntryId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  const Entry& entry = found->second;
  const Rank rank{entry.deadline, id};
  Level& level = levels_.at(entry.priority);
  level.tenants.at(entry.tenant).waiting[IndexOf(entry.target_class)].erase(rank);
  by_deadline_.erase(rank);
  --waiting_[IndexOf(entry.target_class)];
  entries_.erase(found);
  ForgetIdleTenants(level);
  return true;
}

bool FairQueue::MoveToLate(EntryId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  Tenant& tenant = levels_.at(entry.priority).tenants.at(entry.tenant);
  auto node = tenant.waiting[IndexOf(entry.target_class)].extract({entry.deadline, id});
  tenant.waiting[IndexOf(TargetClass::kLate)].insert(std::move(node));
  --waiting_[IndexOf(entry.target_class)];
  ++waiting_[IndexOf(TargetClass::kLate)];
  entry.target_class = TargetClass::kLate;
  return true;
}

bool FairQueue::IsIdle(const Tenant& tenant) {
  return std::all_of(tenant.waiting.begin(), tenant.waiting.end(),
                     [](const std::set<Rank>& waiting) { return waiting.empty(); });
}

FairQueue::Offer FairQueue::OfferOf(const std::string& name, const Tenant& tenant) {
  TargetClass target_class = tenant.shares.Next();
  if (tenant.waiting[IndexOf(TargetClass::kInTime)].empty()) target_class = TargetClass::kLate;
  if (tenant.waiting[IndexOf(TargetClass::kLate)].empty()) target_class = TargetClass::kInTime;
  return {&name, target_class, *tenant.waiting[IndexOf(target_class)].begin()};
}

std::optional<FairQueue::Offer> FairQueue::NextOffer(const Level& level) {
  double start = 0;
  /// The earliest deadline of each class among the tenants that start first.
  std::array<std::optional<Offer>, kTargetClasses> best;
  bool found = false;
  for (const auto& [name, tenant] : level.tenants) {
    if (IsIdle(tenant) || (found && tenant.start > start)) continue;
    if (!found || tenant.start < start) best = {};
    found = true;
    start = tenant.start;
    const Offer offer = OfferOf(name, tenant);
    auto& kept = best[IndexOf(offer.target_class)];
    if (!kept || offer.rank < kept->rank) kept = offer;
  }
  const auto& in_time = best[IndexOf(TargetClass::kInTime)];
  const auto& late = best[IndexOf(TargetClass::kLate)];
  if (in_time && late) return best[IndexOf(level.shares.Next())];
  return in_time ? in_time : late;
}

void FairQueue::Charge(Level& level, Tenant& tenant, TargetClass target_class) {
  level.virtual_time = std::max(level.virtual_time, tenant.start);
  tenant.start = level.virtual_time + 1;
  tenant.shares.Charge(target_class);
  level.shares.Charge(target_class);
}

void FairQueue::ForgetIdleTenants(Level& level) {
  std::erase_if(level.tenants, [&level](const auto& entry) {
    return IsIdle(entry.second) && entry.second.start <= level.virtual_time;
  });
}

std::optional<FairQueue::EntryId> FairQueue::Next() const {
  for (const auto& [priority, level] : levels_) {
    if (const auto offer = NextOffer(level)) return offer->rank.id;
  }
  return std::nullopt;
}

std::optional<FairQueue::EntryId> FairQueue::Pop() {
  const auto id = Next();
  if (!id) return std::nullopt;
  const Entry& entry = entries_.at(*id);
  Level& level = levels_.at(entry.priority);
  Charge(level, level.tenants.at(entry.tenant), entry.target_class);
  Erase(*id);
  return id;
}

void FairQueue::RecordServed(int64_t priority, const std::string& tenant,
                             TargetClass target_class) {
  Level& level = levels_[priority];
  Tenant& served = level.tenants[tenant];
  served.start = std::max(served.start, level.virtual_time);
  Charge(level, served, target_class);
  ForgetIdleTenants(level);
}

bool FairQueue::TakesShareOfInTime(const Entry& entry) const {
  if (entry.target_class == TargetClass::kInTime || Waiting(TargetClass::kInTime) > 0) return false;
  const auto level = levels_.find(entry.priority);
  if (level == levels_.end()) return false;
  return level->second.shares.Next() == TargetClass::kInTime;
}

std::optional<FairQueue::EntryId> FairQueue::PopOverdue(TimePoint now) {
  if (by_deadline_.empty() || by_deadline_.begin()->deadline > now) return std::nullopt;
  const EntryId id = by_deadline_.begin()->id;
  Erase(id);
  return id;
}

std::optional<TimePoint> FairQueue::EarliestDeadline() const {
  if (by_deadline_.empty()) return std::nullopt;
  return by_deadline_.begin()->deadline;
}

FairQueue::Place FairQueue::PlaceOf(const Entry& entry) const {
  Place place;
  for (const EntryId id : OrderWith(&entry)) {
    if (id == 0) break;
    ++place.ahead;
    if (Get(id).target_class == TargetClass::kLate) ++place.late_ahead;
  }
  return place;
}

std::vector<FairQueue::EntryId> FairQueue::Order() const { return OrderWith(nullptr); }

std::vector<FairQueue::EntryId> FairQueue::OrderWith(const Entry* extra) const {
  std::vector<EntryId> order;
  order.reserve(entries_.size() + 1);
  std::map<int64_t, Level> levels = levels_;
  // Last of the entries with its deadline, as if it had arrived now.
  constexpr EntryId kLast = ~EntryId{0};
  if (extra != nullptr) Insert(levels[extra->priority], *extra, kLast);
  for (auto& [priority, level] : levels) {
    while (const auto offer = NextOffer(level)) {
      Tenant& tenant = level.tenants.at(*offer->tenant);
      order.push_back(offer->rank.id == kLast ? 0 : offer->rank.id);
      tenant.waiting[IndexOf(offer->target_class)].erase(offer->rank);
      Charge(level, tenant, offer->target_class);
    }
  }
  return order;
}

}  // namespace millstair
