#include "jobs/item_order.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace millstair {
namespace {

struct Group {
  /// Events of its longest item.
  double expected_events = 0;
  bool carried = false;
  std::vector<uint32_t> items;
};

std::vector<Group> GroupsOf(const JobSpec& job, const std::vector<ItemEstimate>& estimates) {
  std::map<std::string, size_t> by_name;
  std::vector<Group> groups;
  for (uint32_t index = 0; index < job.items.size(); ++index) {
    const JobItem& item = job.items[index];
    // An item without a group forms its own.
    const std::string name = item.group.empty() ? "/" + item.id.value() : item.group;
    const auto [found, added] = by_name.try_emplace(name, groups.size());
    if (added) groups.emplace_back();
    Group& group = groups[found->second];
    group.items.push_back(index);
    group.expected_events = std::max(group.expected_events, estimates[index].events);
    group.carried = group.carried || estimates[index].carried;
  }
  return groups;
}

}  // namespace

ItemOrder OrderItems(const JobSpec& job,
                     const std::function<ItemEstimate(const JobItem&)>& estimate) {
  std::vector<ItemEstimate> estimates;
  for (const JobItem& item : job.items) estimates.push_back(estimate(item));
  std::vector<Group> groups = GroupsOf(job, estimates);
  std::stable_sort(groups.begin(), groups.end(), [](const Group& a, const Group& b) {
    return std::tuple(!a.carried, a.expected_events) < std::tuple(!b.carried, b.expected_events);
  });
  const size_t wanted = job.wanted_groups == 0 ? groups.size() : job.wanted_groups;
  struct Entry {
    bool spare = false;
    double expected_events = 0;
    uint32_t index = 0;
  };
  std::vector<Entry> entries;
  ItemOrder order;
  order.spare.resize(job.items.size());
  order.groups.resize(job.items.size());
  for (size_t i = 0; i < groups.size(); ++i) {
    order.carried_groups.push_back(groups[i].carried);
    for (const uint32_t index : groups[i].items) {
      order.spare[index] = i >= wanted;
      order.groups[index] = i;
      entries.push_back({i >= wanted, estimates[index].events, index});
      order.expected_events += estimates[index].events;
    }
  }
  std::stable_sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    if (a.spare != b.spare) return b.spare;
    return a.expected_events > b.expected_events;
  });
  order.positions.resize(job.items.size());
  for (size_t position = 0; position < entries.size(); ++position) {
    order.positions[entries[position].index] = position;
  }
  return order;
}

}  // namespace millstair
