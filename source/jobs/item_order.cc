#include "jobs/item_order.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace millstair {
namespace {

/// Assumed of an item whose client guesses nothing.
constexpr uint64_t kUnknownTokens = 256;

uint64_t ExpectedTokens(const JobItem& item) {
  return item.expected_tokens > 0 ? item.expected_tokens : kUnknownTokens;
}

struct Group {
  /// Of its longest item.
  uint64_t expected_tokens = 0;
  bool carried = false;
  std::vector<uint32_t> items;
};

std::vector<Group> GroupsOf(const JobSpec& job, const std::function<bool(const ItemId&)>& carried) {
  std::map<std::string, size_t> by_name;
  std::vector<Group> groups;
  for (uint32_t index = 0; index < job.items.size(); ++index) {
    const JobItem& item = job.items[index];
    // An item without a group counts by itself.
    const std::string name = item.group.empty() ? "/" + item.id.value() : item.group;
    const auto [found, added] = by_name.try_emplace(name, groups.size());
    if (added) groups.emplace_back();
    Group& group = groups[found->second];
    group.items.push_back(index);
    group.expected_tokens = std::max(group.expected_tokens, ExpectedTokens(item));
    group.carried = group.carried || carried(item.id);
  }
  return groups;
}

}  // namespace

ItemOrder OrderItems(const JobSpec& job, const std::function<bool(const ItemId&)>& carried) {
  std::vector<Group> groups = GroupsOf(job, carried);
  std::stable_sort(groups.begin(), groups.end(), [](const Group& a, const Group& b) {
    return std::tuple(!a.carried, a.expected_tokens) < std::tuple(!b.carried, b.expected_tokens);
  });
  const size_t wanted = job.wanted_groups == 0 ? groups.size() : job.wanted_groups;
  struct Entry {
    bool spare = false;
    uint64_t expected_tokens = 0;
    uint32_t index = 0;
  };
  std::vector<Entry> entries;
  ItemOrder order;
  for (size_t i = 0; i < groups.size(); ++i) {
    for (const uint32_t index : groups[i].items) {
      const uint64_t expected = ExpectedTokens(job.items[index]);
      entries.push_back({i >= wanted, expected, index});
      order.expected_tokens += static_cast<double>(expected);
    }
  }
  std::stable_sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    if (a.spare != b.spare) return b.spare;
    return a.expected_tokens > b.expected_tokens;
  });
  order.places.resize(job.items.size());
  for (size_t place = 0; place < entries.size(); ++place) {
    order.places[entries[place].index] = place;
  }
  return order;
}

}  // namespace millstair
