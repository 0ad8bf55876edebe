#include "bench/scale/scale_run.h"

#include <fmt/core.h>
#include <signal.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <thread>
#include <utility>

#include "bench/scale/control_cost.h"
#include "bench/scale/hollow_view.h"

namespace millstair {
namespace {

constexpr Duration kPoll = std::chrono::milliseconds(250);
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr size_t kResourcesPerApply = 200;
constexpr char kClusterGroup[] = "cluster";

void Pause(Duration time) { std::this_thread::sleep_for(time); }

double Milliseconds(int64_t from_us, int64_t to_us) {
  return static_cast<double>(to_us - from_us) / 1000.0;
}

TimeSpread SpreadOf(std::vector<double> times) {
  TimeSpread spread;
  spread.samples = times.size();
  if (times.empty()) return spread;
  std::sort(times.begin(), times.end());
  spread.p50_ms = times[times.size() / 2];
  spread.max_ms = times.back();
  return spread;
}

absl::Status Step(const char* name, const absl::Status& status) {
  fmt::print(stderr, "{}: {}\n", name, status.ok() ? "done" : std::string(status.message()));
  if (status.ok()) return status;
  return absl::Status(status.code(), fmt::format("{}: {}", name, std::string(status.message())));
}

/// Polls `condition` until it holds; DeadlineExceeded with `what` if it takes too long.
absl::Status WaitFor(const char* what, Duration patience, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + patience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return absl::DeadlineExceededError(
          fmt::format("not within {} s: {}", ToSeconds(patience), what));
    }
    Pause(kPoll);
  }
  return absl::OkStatus();
}

}  // namespace

ScaleRun::ScaleRun(BlockingCaller& caller, ScaleOptions options)
    : caller_(caller),
      options_(std::move(options)),
      api_(caller, ControlApiOptions{.servers = options_.control_http}, Pause) {
  report_.nodes = options_.nodes;
  report_.servers = options_.shape.servers;
}

absl::Status ScaleRun::Run() {
  absl::Status status = Step("nodes attach", WaitUntilReady());
  if (status.ok()) status = Step("resources applied", ApplyResources());
  if (status.ok()) status = Step("steady cost", MeasureSteady());
  if (status.ok()) status = Step("configuration changes", MeasureChanges());
  if (status.ok()) status = Step("new weights", MeasurePublishes());
  if (status.ok()) status = Step("lost node", MeasureLostNode());
  if (status.ok()) status = Step("leader failover", MeasureLeaderFailover());
  return status;
}

absl::Status ScaleRun::WaitUntilReady() {
  const int64_t begin = SteadyMicroseconds();
  const absl::Status waited = WaitFor("all hollow nodes ready", options_.patience, [this] {
    const auto fleet = ReadHollowFleet(caller_, options_.hollow);
    return fleet.ok() && fleet->Ready() == options_.nodes;
  });
  report_.all_ready_s = Milliseconds(begin, SteadyMicroseconds()) / 1000;
  return waited;
}

absl::Status ScaleRun::ApplyResources() {
  const std::vector<Resource> resources = ScaleResources(options_.shape);
  Revision newest;
  for (size_t begin = 0; begin < resources.size(); begin += kResourcesPerApply) {
    std::vector<ApplyItem> items;
    const size_t end = std::min(resources.size(), begin + kResourcesPerApply);
    for (size_t i = begin; i < end; ++i) items.push_back({resources[i], Revision(0)});
    const auto applied = api_.Apply(items);
    if (!applied.ok()) return applied.status();
    newest = applied->revision;
  }
  return WaitFor("resources in force", options_.patience, [this, newest] {
    const auto fleet = ReadHollowFleet(caller_, options_.hollow);
    if (!fleet.ok()) return false;
    const auto held = fleet->HeldSince(newest);
    return std::all_of(held.begin(), held.end(), [](const auto& time) { return time.has_value(); });
  });
}

absl::Status ScaleRun::MeasureSteady() {
  Pause(options_.window / 4);
  auto cost = MeasureControlCost(caller_, options_, [] { return absl::OkStatus(); });
  if (!cost.ok()) return cost.status();
  report_.steady = *cost;
  return absl::OkStatus();
}

absl::StatusOr<ScaleRun::SentChange> ScaleRun::ChangeSomething() {
  const ResourceKey key{ResourceKind::kMachine, ScaleMachineName(0)};
  auto stored = api_.Get(key);
  if (!stored.ok()) return stored.status();
  stored->labels["round"] = std::to_string(++next_label_);
  SentChange change;
  change.sent_us = SteadyMicroseconds();
  const auto applied = api_.Apply({{*stored, stored->version}});
  if (!applied.ok()) return applied.status();
  if (!applied->conflicting.empty()) return absl::AbortedError("nobody else changes it");
  change.revision = applied->revision;
  return change;
}

absl::Status ScaleRun::WaitInForce(const SentChange& change, std::vector<double>& times_ms) {
  std::vector<std::optional<int64_t>> held;
  const absl::Status waited = WaitFor("a change in force", options_.patience, [&] {
    const auto fleet = ReadHollowFleet(caller_, options_.hollow);
    if (!fleet.ok()) return false;
    held = fleet->HeldSince(change.revision);
    return std::all_of(held.begin(), held.end(), [](const auto& time) { return time.has_value(); });
  });
  if (!waited.ok()) return waited;
  for (const auto& time : held) times_ms.push_back(Milliseconds(change.sent_us, *time));
  return absl::OkStatus();
}

absl::Status ScaleRun::MeasureChanges() {
  std::vector<SentChange> changes;
  auto cost = MeasureControlCost(caller_, options_, [&]() -> absl::Status {
    for (uint32_t i = 0; i < options_.changes; ++i) {
      const auto change = ChangeSomething();
      if (!change.ok()) return change.status();
      changes.push_back(*change);
      Pause(options_.window / (options_.changes + 1));
    }
    return absl::OkStatus();
  });
  if (!cost.ok()) return cost.status();
  report_.changing = *cost;
  std::vector<double> times;
  for (const SentChange& change : changes) {
    const absl::Status waited = WaitInForce(change, times);
    if (!waited.ok()) return waited;
  }
  report_.in_force = SpreadOf(std::move(times));
  return absl::OkStatus();
}

absl::Status ScaleRun::PublishVersion(WeightVersion version) {
  HttpRequest request;
  request.method = "PUT";
  request.target = fmt::format("/v1/models/{}/versions/{}", kScaleModel, version.value());
  request.body = fmt::format(R"({{"digest":"{:064x}","location":"scale/{}"}})", version.value(),
                             version.value());
  const BlockingReply reply = caller_.Call(options_.gateway_http, request, kCallTimeout);
  if (reply.whole() && reply.status == 200) return absl::OkStatus();
  return absl::UnavailableError(
      fmt::format("publish: {} {} {}", reply.status, reply.reason, reply.body));
}

absl::Status ScaleRun::MeasurePublishes() {
  std::vector<double> published;
  std::vector<double> activated;
  for (uint32_t i = 1; i <= options_.publishes; ++i) {
    const WeightVersion version(i);
    const int64_t sent = SteadyMicroseconds();
    absl::Status status = PublishVersion(version);
    if (!status.ok()) return status;
    std::map<std::string, int64_t> active;
    status = WaitFor("a version on all servers", options_.patience, [&] {
      const auto fleet = ReadHollowFleet(caller_, options_.hollow);
      if (!fleet.ok()) return false;
      active = fleet->ActiveSince(version);
      return active.size() == options_.shape.servers;
    });
    if (!status.ok()) {
      return absl::DeadlineExceededError(fmt::format("{} ({} of {} servers)",
                                                     std::string(status.message()), active.size(),
                                                     options_.shape.servers));
    }
    int64_t first = active.begin()->second;
    for (const auto& [engine, at] : active) first = std::min(first, at);
    for (const auto& [engine, at] : active) {
      published.push_back(Milliseconds(sent, at));
      activated.push_back(Milliseconds(first, at));
    }
  }
  report_.published = SpreadOf(std::move(published));
  report_.activated = SpreadOf(std::move(activated));
  return absl::OkStatus();
}

absl::Status ScaleRun::MeasureLostNode() {
  const auto fleet = ReadHollowFleet(caller_, options_.hollow);
  if (!fleet.ok()) return fleet.status();
  const NodeId lost = fleet->hosts.front().nodes.begin()->first;
  const auto killed = KillHollowNode(caller_, options_.hollow, lost);
  if (!killed.ok()) return killed.status();
  std::vector<std::optional<int64_t>> seen;
  const absl::Status waited = WaitFor("all saw the node gone", options_.patience, [&] {
    const auto now = ReadHollowFleet(caller_, options_.hollow);
    if (!now.ok()) return false;
    seen = now->SawGone(lost);
    return std::all_of(seen.begin(), seen.end(), [](const auto& time) { return time.has_value(); });
  });
  if (!waited.ok()) return waited;
  std::vector<double> times;
  for (const auto& time : seen) times.push_back(Milliseconds(*killed, *time));
  report_.lost_node = SpreadOf(std::move(times));
  return absl::OkStatus();
}

absl::StatusOr<std::string> ScaleRun::LeaderOfCluster() {
  const auto status = api_.Status();
  if (!status.ok()) return status.status();
  try {
    for (const auto& group : status->at("groups").as_array()) {
      const auto& object = group.as_object();
      if (object.at("group").as_string() != kClusterGroup) continue;
      return std::string(object.at("leader").as_string());
    }
  } catch (const std::exception& error) {
    return absl::InternalError(fmt::format("status page: {}", error.what()));
  }
  return absl::NotFoundError("the status page names no cluster leader");
}

absl::Status ScaleRun::MeasureLeaderFailover() {
  const auto leader = LeaderOfCluster();
  if (!leader.ok()) return leader.status();
  const auto process =
      std::find_if(options_.control.begin(), options_.control.end(),
                   [&](const MeasuredProcess& control) { return control.name == *leader; });
  if (process == options_.control.end()) {
    return absl::NotFoundError(fmt::format("no process is given for leader '{}'", *leader));
  }
  kill(process->pid, SIGKILL);
  const int64_t killed = SteadyMicroseconds();
  const auto change = ChangeSomething();
  if (!change.ok()) return change.status();
  report_.leader_failover_ms = Milliseconds(killed, SteadyMicroseconds());
  std::vector<double> times;
  const absl::Status waited = WaitInForce({change->revision, killed}, times);
  if (!waited.ok()) return waited;
  report_.leader_failover_in_force_ms = SpreadOf(std::move(times)).max_ms;
  return absl::OkStatus();
}

}  // namespace millstair
