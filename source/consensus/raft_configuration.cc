#include "consensus/raft_configuration.h"

#include <algorithm>
#include <utility>

namespace millstair {

const GroupMember* Configuration::Find(ReplicaId replica) const {
  for (const GroupMember& member : members) {
    if (member.replica == replica) return &member;
  }
  return nullptr;
}

bool Configuration::IsVoter(ReplicaId replica) const {
  const GroupMember* member = Find(replica);
  return member != nullptr && member->voter;
}

size_t Configuration::VoterCount() const {
  return static_cast<size_t>(std::count_if(members.begin(), members.end(),
                                           [](const GroupMember& member) { return member.voter; }));
}

const Configuration& ConfigurationHistory::At(LogIndex index) const {
  for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
    if (it->index <= index) return *it;
  }
  return history_.front();
}

void ConfigurationHistory::Add(LogIndex index, std::vector<GroupMember> members) {
  TruncateFrom(index);
  std::sort(members.begin(), members.end(),
            [](const GroupMember& a, const GroupMember& b) { return a.replica < b.replica; });
  history_.push_back({index, std::move(members)});
}

void ConfigurationHistory::TruncateFrom(LogIndex index) {
  while (history_.size() > 1 && history_.back().index >= index) history_.pop_back();
}

void ConfigurationHistory::Compact(LogIndex index) {
  size_t keep_from = 0;
  for (size_t i = 0; i < history_.size(); ++i) {
    if (history_[i].index <= index) keep_from = i;
  }
  history_.erase(history_.begin(), history_.begin() + static_cast<std::ptrdiff_t>(keep_from));
}

void ConfigurationHistory::Reset(LogIndex index, std::vector<GroupMember> members) {
  history_.clear();
  history_.push_back({index, std::move(members)});
}

}  // namespace millstair
