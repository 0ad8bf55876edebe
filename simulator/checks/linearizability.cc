#include "simulator/checks/linearizability.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "fmt/format.h"

namespace millstair::checks {
namespace {

constexpr uint64_t kAbsent = 0;
/// Version of a stored value that no reply reported.
constexpr uint64_t kUnknownVersion = std::numeric_limits<uint64_t>::max();
constexpr RunTime kNever = RunTime::max();

/// State of one resource.
struct Register {
  uint64_t version = kAbsent;
  /// Index of the operation that wrote it; -1 if nothing is stored.
  int writer = -1;
  /// Largest version stored so far; versions increase strictly.
  uint64_t largest = 0;
  auto operator<=>(const Register&) const = default;  // NOLINT
};

enum class Verdict { kLinearizable, kBroken, kUndecided };

/// Searches for a linearization of the operations on one resource.
class Search {
 public:
  Search(std::vector<ResourceOperation> operations, std::map<std::string, uint64_t> versions,
         uint64_t max_states)
      : operations_(std::move(operations)),
        versions_(std::move(versions)),
        max_states_(max_states),
        done_(operations_.size(), false) {
    for (const auto& [value, version] : versions_) known_versions_.insert(version);
    for (size_t i = 0; i < operations_.size(); ++i) {
      if (operations_[i].action == ResourceAction::kPut) {
        writer_of_[operations_[i].value] = static_cast<int>(i);
      }
    }
  }

  Verdict Run() {
    std::vector<Step> path;
    Register state;
    size_t next = 0;
    while (true) {
      if (AllReturnedAreDone()) return Verdict::kLinearizable;
      if (visited_.size() > max_states_) return Verdict::kUndecided;
      if (AdvanceToNext(path, state, next)) continue;
      if (path.empty()) return Verdict::kBroken;
      const Step& last = path.back();
      done_[last.operation] = false;
      state = last.before;
      next = last.operation + 1;
      path.pop_back();
    }
  }

  /// Last operation, in order of sending, that the search could not pass; for the report.
  const ResourceOperation& furthest() const { return operations_[furthest_]; }

 private:
  struct Step {
    size_t operation;
    Register before;
  };

  bool AllReturnedAreDone() {
    for (size_t i = 0; i < operations_.size(); ++i) {
      if (done_[i] || !operations_[i].returned) continue;
      furthest_ = std::max(furthest_, i);
      return false;
    }
    return true;
  }

  /// Extends the path by the first candidate at or after `next` that leads to an unvisited state.
  bool AdvanceToNext(std::vector<Step>& path, Register& state, size_t& next) {
    const RunTime limit = FirstReturn();
    for (size_t i = next; i < operations_.size(); ++i) {
      if (operations_[i].invoked > limit) break;
      if (done_[i]) continue;
      Register after = state;
      if (!Effect(i, after)) continue;
      done_[i] = true;
      if (visited_.emplace(done_, after).second) {
        path.push_back({i, state});
        state = after;
        next = 0;
        return true;
      }
      done_[i] = false;
    }
    return false;
  }

  /// Earliest reply of a pending operation; only operations sent before it can come next.
  RunTime FirstReturn() const {
    RunTime first = kNever;
    for (size_t i = 0; i < operations_.size(); ++i) {
      if (operations_[i].invoked > first) break;
      if (!done_[i] && operations_[i].returned) first = std::min(first, *operations_[i].returned);
    }
    return first;
  }

  uint64_t VersionOf(const std::string& value) const {
    const auto found = versions_.find(value);
    return found == versions_.end() ? kUnknownVersion : found->second;
  }

  /// Applies operation `index` to `state`; false if its reply contradicts `state`.
  bool Effect(size_t index, Register& state) const {
    const ResourceOperation& operation = operations_[index];
    switch (operation.action) {
      case ResourceAction::kRead:
        return ReadAgrees(operation, state);
      case ResourceAction::kPut:
        return PutAgrees(index, state);
      case ResourceAction::kDelete:
        return DeleteAgrees(operation, state);
    }
    return false;
  }

  bool ReadAgrees(const ResourceOperation& operation, const Register& state) const {
    if (operation.end == ResourceEnd::kMissing) return state.writer < 0;
    const auto writer = writer_of_.find(operation.value);
    return writer != writer_of_.end() && state.writer == writer->second;
  }

  /// Whether `state` can have `version`. A stored value whose version no reply reported can have
  /// any version that belongs to no other value.
  bool CanHaveVersion(uint64_t version, const Register& state) const {
    if (state.version != kUnknownVersion) return state.version == version;
    return version != kAbsent && !known_versions_.contains(version);
  }

  bool ExpectationHolds(const ResourceOperation& operation, const Register& state) const {
    return !operation.expected || CanHaveVersion(operation.expected->value(), state);
  }

  bool ConflictAgrees(const ResourceOperation& operation, const Register& state) const {
    if (operation.expected && operation.expected->value() == state.version) return false;
    return operation.version.value() == 0 || CanHaveVersion(operation.version.value(), state);
  }

  bool PutAgrees(size_t index, Register& state) const {
    const ResourceOperation& operation = operations_[index];
    if (operation.end == ResourceEnd::kConflict) return ConflictAgrees(operation, state);
    if (operation.end == ResourceEnd::kMissing) return state.writer < 0;
    if (!ExpectationHolds(operation, state)) return false;
    state.version = VersionOf(operation.value);
    state.writer = static_cast<int>(index);
    if (state.version == kUnknownVersion) return true;
    if (state.version <= state.largest) return false;
    state.largest = state.version;
    return true;
  }

  bool DeleteAgrees(const ResourceOperation& operation, Register& state) const {
    if (operation.end == ResourceEnd::kConflict) return ConflictAgrees(operation, state);
    if (operation.end == ResourceEnd::kMissing) return state.writer < 0;
    if (state.writer < 0 || !ExpectationHolds(operation, state)) return false;
    state.version = kAbsent;
    state.writer = -1;
    return true;
  }

  std::vector<ResourceOperation> operations_;
  std::map<std::string, uint64_t> versions_;
  std::map<std::string, int> writer_of_;
  std::set<uint64_t> known_versions_;
  uint64_t max_states_;
  std::vector<bool> done_;
  std::set<std::pair<std::vector<bool>, Register>> visited_;
  size_t furthest_ = 0;
};

std::string Describe(const ResourceOperation& operation) {
  constexpr std::string_view kActions[] = {"put", "delete", "read"};
  constexpr std::string_view kEnds[] = {"done", "conflict", "missing", "refused", "unanswered"};
  return fmt::format("{} {} of {} '{}' at {} ms: {} version {}", operation.client.value(),
                     kActions[static_cast<size_t>(operation.action)], operation.resource,
                     operation.value, operation.invoked.count() / 1000,
                     kEnds[static_cast<size_t>(operation.end)], operation.version.value());
}

/// The value whose version the reply reports; empty if it reports none.
const std::string& NamedValue(const ResourceOperation& operation) {
  static const std::string kNone;
  if (operation.end == ResourceEnd::kConflict) return operation.found_value;
  const bool names = operation.end == ResourceEnd::kDone;
  return names && operation.action != ResourceAction::kDelete ? operation.value : kNone;
}

/// Version of each value as reported by replies. Contradictory versions are violations.
std::map<std::string, uint64_t> NamedVersions(const std::vector<ResourceOperation>& operations,
                                              CheckResult& result) {
  std::map<std::string, uint64_t> versions;
  for (const ResourceOperation& operation : operations) {
    const std::string& value = NamedValue(operation);
    if (value.empty() || operation.version.value() == 0) continue;
    const auto [named, added] = versions.emplace(value, operation.version.value());
    if (!added && named->second != operation.version.value()) {
      result.Break(fmt::format("'{}' was stored twice, as versions {} and {}: {}", value,
                               named->second, operation.version.value(), Describe(operation)));
    }
  }
  return versions;
}

void CheckRefusals(const std::vector<ResourceOperation>& operations,
                   const std::map<std::string, uint64_t>& versions, CheckResult& result) {
  for (const ResourceOperation& operation : operations) {
    const bool refused =
        operation.end == ResourceEnd::kRefused || operation.end == ResourceEnd::kConflict;
    if (operation.action != ResourceAction::kPut || !refused) continue;
    if (versions.contains(operation.value)) {
      result.Break("reported as not applied, but the value was stored: " + Describe(operation));
    }
  }
}

void CheckResource(std::vector<ResourceOperation> operations, const LinearizabilityLimits& limits,
                   CheckResult& result) {
  ++result.tried;
  const uint64_t broken_before = result.broken;
  const std::map<std::string, uint64_t> versions = NamedVersions(operations, result);
  CheckRefusals(operations, versions, result);
  if (result.broken != broken_before) return;
  std::erase_if(operations, [](const ResourceOperation& operation) {
    const bool unanswered_read = operation.action == ResourceAction::kRead && !operation.returned;
    return operation.end == ResourceEnd::kRefused || unanswered_read;
  });
  if (operations.empty()) return;
  std::stable_sort(operations.begin(), operations.end(),
                   [](const auto& a, const auto& b) { return a.invoked < b.invoked; });
  Search search(std::move(operations), versions, limits.max_states);
  const Verdict verdict = search.Run();
  if (verdict == Verdict::kUndecided) ++result.undecided;
  if (verdict == Verdict::kBroken) {
    result.Break("no order is consistent with all replies; the search failed at " +
                 Describe(search.furthest()));
  }
}

}  // namespace

CheckResult CheckLinearizability(const std::vector<ResourceOperation>& operations,
                                 const LinearizabilityLimits& limits) {
  CheckResult result{.name = "linearizable-resources"};
  std::map<std::string, std::vector<ResourceOperation>> by_resource;
  for (const ResourceOperation& operation : operations) {
    by_resource[operation.resource].push_back(operation);
  }
  for (auto& [resource, of_resource] : by_resource) {
    CheckResource(std::move(of_resource), limits, result);
  }
  return result;
}

}  // namespace millstair::checks
