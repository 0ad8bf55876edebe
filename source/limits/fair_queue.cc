#include "limits/fair_queue.h"

#include <algorithm>
#include <utility>

namespace millstair {

std::optional<FairQueue::EntryId> FairQueue::Push(Entry entry) {
  if (entries_.size() >= bound_) return std::nullopt;
  const EntryId id = next_id_++;
  Insert(classes_[entry.priority], entry, id);
  by_deadline_.insert({entry.deadline, id});
  entries_.emplace(id, std::move(entry));
  return id;
}

void FairQueue::Insert(Class& members, const Entry& entry, EntryId id) {
  Tenant& tenant = members.tenants[entry.tenant];
  if (tenant.waiting.empty()) tenant.start = std::max(tenant.start, members.virtual_time);
  tenant.waiting.insert({entry.deadline, id});
}

bool FairQueue::Erase(EntryId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  const Rank rank{found->second.deadline, id};
  Class& members = classes_.at(found->second.priority);
  members.tenants.at(found->second.tenant).waiting.erase(rank);
  by_deadline_.erase(rank);
  entries_.erase(found);
  ForgetIdleTenants(members);
  return true;
}

const std::string* FairQueue::NextTenant(const Class& members) {
  const std::string* next = nullptr;
  std::pair<double, Rank> best;
  for (const auto& [name, tenant] : members.tenants) {
    if (tenant.waiting.empty()) continue;
    const std::pair<double, Rank> rank(tenant.start, *tenant.waiting.begin());
    if (next != nullptr && best <= rank) continue;
    next = &name;
    best = rank;
  }
  return next;
}

void FairQueue::Charge(Class& members, Tenant& tenant) {
  members.virtual_time = std::max(members.virtual_time, tenant.start);
  tenant.start = members.virtual_time + 1;
}

void FairQueue::ForgetIdleTenants(Class& members) {
  std::erase_if(members.tenants, [&members](const auto& entry) {
    return entry.second.waiting.empty() && entry.second.start <= members.virtual_time;
  });
}

std::optional<FairQueue::EntryId> FairQueue::Next() const {
  for (const auto& [priority, members] : classes_) {
    const std::string* name = NextTenant(members);
    if (name != nullptr) return members.tenants.at(*name).waiting.begin()->id;
  }
  return std::nullopt;
}

std::optional<FairQueue::EntryId> FairQueue::Pop() {
  const auto id = Next();
  if (!id) return std::nullopt;
  const Entry& entry = entries_.at(*id);
  Class& members = classes_.at(entry.priority);
  Charge(members, members.tenants.at(entry.tenant));
  Erase(*id);
  return id;
}

void FairQueue::RecordServed(int64_t priority, const std::string& tenant) {
  Class& members = classes_[priority];
  Tenant& served = members.tenants[tenant];
  served.start = std::max(served.start, members.virtual_time);
  Charge(members, served);
  ForgetIdleTenants(members);
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

size_t FairQueue::Ahead(const Entry& entry) const {
  const std::vector<EntryId> order = OrderWith(&entry);
  return static_cast<size_t>(
      std::distance(order.begin(), std::find(order.begin(), order.end(), EntryId{0})));
}

std::vector<FairQueue::EntryId> FairQueue::Order() const { return OrderWith(nullptr); }

std::vector<FairQueue::EntryId> FairQueue::OrderWith(const Entry* extra) const {
  std::vector<EntryId> order;
  order.reserve(entries_.size() + 1);
  std::map<int64_t, Class> classes = classes_;
  // Last of the entries with its deadline, as if it had arrived now.
  constexpr EntryId kLast = ~EntryId{0};
  if (extra != nullptr) Insert(classes[extra->priority], *extra, kLast);
  for (auto& [priority, members] : classes) {
    for (const std::string* name = NextTenant(members); name != nullptr;
         name = NextTenant(members)) {
      Tenant& tenant = members.tenants.at(*name);
      const EntryId id = tenant.waiting.begin()->id;
      order.push_back(id == kLast ? 0 : id);
      tenant.waiting.erase(tenant.waiting.begin());
      Charge(members, tenant);
    }
  }
  return order;
}

}  // namespace millstair
