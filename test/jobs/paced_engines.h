/// A job scheduler that shares engines by lateness, with engines whose pace can change.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fmt/format.h"
#include "test/jobs/job_scheduler_fixture.h"

namespace millstair {

inline constexpr uint64_t kPacedTokensPerEvent = 10;

inline JobItem PacedItem(const std::string& name, const std::string& group, uint64_t events) {
  JobItem item;
  item.id = ItemId(fmt::format("{}-{}", name, events));
  item.path = "/j/item";
  item.group = group;
  item.expected_tokens = events * kPacedTokensPerEvent;
  return item;
}

/// Engines make the number of events in the item's identifier, after the last "-". Jobs are due
/// after 4 s, and their items may be given up after 30 s. Without AddEngine there is one unpaced
/// engine at e:1.
class PacedEngines : public JobSchedulerFixture {
 public:
  explicit PacedEngines(JobSchedulerOptions options = {.shares_steps = true})
      : JobSchedulerFixture(options) {
    reader.table.version = 2;
    reader.table.routes[0].job_deadline = std::chrono::seconds(4);
    reader.table.services[0].engine->tokens_per_event = kPacedTokensPerEvent;
    configuration.routing = {2, "other content"};
    Update();
  }

  /// `seconds_per_event` of 0: the engine accepts requests and sends nothing.
  void AddEngine(const std::string& address, uint32_t slots, double seconds_per_event) {
    paces[address] = seconds_per_event;
    Add(address, "engines", [this, address](const HttpRequest& request) {
      const double pace = paces.at(address);
      if (pace <= 0) return FakeAnswer{FakeAnswer::Kind::kNoResponse};
      // Health checks carry no identifier.
      const std::string id(FindHeader(request.headers, "id").value_or(""));
      if (id.empty()) return FakeAnswer{};
      const size_t events = std::stoul(id.substr(id.rfind('-') + 1));
      const auto resume = FindHeader(request.headers, "resume");
      std::vector<std::string> pieces;
      for (size_t i = resume ? std::stoul(std::string(*resume)) + 1 : 1; i <= events; ++i) {
        pieces.push_back(fmt::format("{}||x\n\n", i));
      }
      FakeAnswer answer = Text(pieces);
      answer.delay = FromSeconds(pace);
      answer.gap = FromSeconds(pace);
      return answer;
    });
    configuration.instances[InstanceId(address)].slots = slots;
    Update();
  }

  void RemoveEngine(const std::string& address) {
    configuration.instances.erase(InstanceId(address));
    Update();
  }

  /// A job of `items` texts of `events` events, one group each.
  JobSpec JobOfTexts(const std::string& id, size_t items, uint64_t events) const {
    JobSpec job = Job(id, false);
    job.items.clear();
    for (size_t i = 0; i < items; ++i) {
      job.items.push_back(PacedItem(fmt::format("{}-{}", id, i), fmt::format("g{}", i), events));
    }
    return job;
  }

  void End(const std::string& job) {
    group.Propose(EncodeJobCommand({EndJob{JobId(job), {}}, environment.WallNow()}),
                  [](const absl::StatusOr<std::string>&) {});
    scheduler.RunFor(std::chrono::milliseconds(10));
  }

  /// Another replica with the same log becomes the leader, without what the last one had in memory.
  void ChangeLeader() {
    scheduler_under_test.SetLeading(false);
    group.term = Next(group.term);
    scheduler_under_test.SetLeading(true);
  }

  /// Addresses that received the item, in order.
  std::vector<std::string> EnginesOf(const std::string& item) const {
    std::vector<std::string> engines;
    for (const auto& call : backends.calls) {
      const auto id = FindHeader(call->request.headers, "id");
      if (id && *id == item) engines.push_back(call->address);
    }
    return engines;
  }

  std::optional<double> RecordedPace(const std::string& engine) const {
    for (const EnginePace& pace : state.engine_paces()) {
      if (pace.engine == InstanceId(engine)) return ToSeconds(pace.per_event);
    }
    return std::nullopt;
  }

  std::optional<double> Metric(const std::string& name) const {
    for (const StatSample& sample : stats.Read()) {
      if (sample.name.name == name) return sample.value;
    }
    return std::nullopt;
  }

  /// Seconds per event by address.
  std::map<std::string, double> paces;
};

}  // namespace millstair
