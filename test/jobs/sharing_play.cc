#include "test/jobs/sharing_play.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "fmt/format.h"
#include "test/jobs/job_scheduler_fixture.h"

namespace millstair {
namespace {

constexpr Duration kJobInterval = std::chrono::seconds(4);
constexpr Duration kDueAfter = std::chrono::milliseconds(7500);
constexpr Duration kLifetime = std::chrono::seconds(40);
constexpr Duration kLostAfter = std::chrono::seconds(12);
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);
constexpr size_t kOpenJobs = 2;
constexpr double kWantedShare = 0.9;
constexpr uint32_t kSlots = 8;
constexpr double kSecondsPerEvent = 0.048;
constexpr double kFastFactor = 0.55;
constexpr double kSlowFactor = 1.2;
constexpr uint64_t kTokensPerEvent = 10;
constexpr Duration kSilentFrom = std::chrono::seconds(10);
constexpr size_t kMaxEvents = 147;
/// Standard deviations of the logarithms of the lengths and of the errors of their estimates: an
/// estimate is off by a factor of two in about a third of the cases.
constexpr double kLengthSpread = 0.7;
constexpr double kEstimateSpread = 0.7;

class Play : public JobSchedulerFixture {
 public:
  explicit Play(const SharingPlay& play)
      : JobSchedulerFixture({.shares_steps = play.shares_steps}),
        play_(play),
        random_(play.seed),
        outcomes_(play.trainers.size()),
        open_(play.trainers.size()) {
    reader.table.version = 2;
    reader.table.routes[0].job_deadline = kDueAfter;
    reader.table.routes[0].item_lifetime = kLifetime;
    reader.table.services[0].engine->tokens_per_event = kTokensPerEvent;
    configuration.routing = {2, "other content"};
    configuration.instances.clear();
    for (size_t i = 0; i < play.engines; ++i) {
      const double factor = i < play.fast_engines ? kFastFactor : kSlowFactor;
      AddEngine(fmt::format("e:{}", i), FromSeconds(kSecondsPerEvent * factor));
    }
    Lead();
  }

  std::vector<TrainerOutcome> Run() {
    // Trainers don't start at the same time.
    std::vector<Duration> next;
    for (size_t i = 0; i < outcomes_.size(); ++i) next.push_back(std::chrono::seconds(i));
    while (scheduler.Now() < play_.length || AnyOpen()) {
      scheduler.RunFor(kCheckInterval);
      for (size_t trainer = 0; trainer < outcomes_.size(); ++trainer) {
        CheckJobs(trainer);
        if (scheduler.Now() >= play_.length || scheduler.Now() < next[trainer]) continue;
        if (open_[trainer].size() >= kOpenJobs) continue;
        SubmitJobOf(trainer);
        next[trainer] = scheduler.Now() + kJobInterval;
      }
    }
    return outcomes_;
  }

 private:
  struct OpenJob {
    JobId id;
    Duration submitted_at{0};
    size_t groups = 0;
    size_t items_per_group = 0;
    size_t wanted = 0;
    bool was_due = false;
  };

  void AddEngine(const std::string& address, Duration normal_pace) {
    // Spread over fast and slow engines alike.
    const bool falls_silent = configuration.instances.size() * 9 % 20 < 9;
    Add(address, "engines", [this, normal_pace, falls_silent](const HttpRequest& request) {
      const bool bad = play_.silent_engines && scheduler.Now() >= kSilentFrom;
      if (bad && falls_silent) return FakeAnswer{FakeAnswer::Kind::kNoResponse};
      const Duration pace = bad ? normal_pace * play_.slowdown : normal_pace;
      const std::string id(*FindHeader(request.headers, "id"));
      const size_t length = std::stoul(id.substr(id.rfind('-') + 1));
      const auto resume = FindHeader(request.headers, "resume");
      std::vector<std::string> pieces;
      for (size_t i = resume ? std::stoul(std::string(*resume)) + 1 : 1; i <= length; ++i) {
        pieces.push_back(fmt::format("{}||x\n\n", i));
      }
      FakeAnswer answer = Text(std::move(pieces));
      answer.delay = pace;
      answer.gap = pace;
      return answer;
    });
    configuration.instances[InstanceId(address)].slots = kSlots;
    Update();
  }

  double Factor(double spread) {
    return std::exp(spread * std::normal_distribution<double>()(random_));
  }

  void SubmitJobOf(size_t trainer) {
    const PlayedTrainer& shape = play_.trainers[trainer];
    JobSpec job = Job(fmt::format("t{}-{}", trainer, outcomes_[trainer].steps), false);
    job.items.clear();
    const auto wanted =
        static_cast<size_t>(std::ceil(kWantedShare * static_cast<double>(shape.groups)));
    job.wanted_groups = wanted;
    // Mean of the lengths is that of the trainer.
    const double median = shape.mean_events * std::exp(-kLengthSpread * kLengthSpread / 2);
    for (size_t i = 0; i < shape.groups * shape.items_per_group; ++i) {
      const double length = std::clamp(median * Factor(kLengthSpread), 1.0, 1.0 * kMaxEvents);
      const auto events = static_cast<size_t>(std::lround(length));
      JobItem item;
      item.id = ItemId(fmt::format("{}-{}-{}", job.id.value(), i, events));
      item.path = "/j/item";
      item.group = fmt::format("g{}", i / shape.items_per_group);
      item.expected_tokens = std::max<uint64_t>(
          1, static_cast<uint64_t>(length * Factor(kEstimateSpread) * kTokensPerEvent));
      job.items.push_back(item);
    }
    open_[trainer].push_back(
        {job.id, scheduler.Now(), shape.groups, shape.items_per_group, wanted, false});
    ++outcomes_[trainer].steps;
    outcomes_[trainer].rejected_steps += scheduler_under_test.RejectionOf(job) ? 1 : 0;
    outcomes_[trainer].wanted_groups += wanted;
    Submit(std::move(job));
  }

  size_t CompleteGroups(const OpenJob& job) const {
    const JobRecord* record = state.Find(job.id);
    std::vector<size_t> done(job.groups);
    if (record == nullptr) return 0;
    for (const JobResult& result : record->results) ++done[result.item / job.items_per_group];
    return static_cast<size_t>(std::count(done.begin(), done.end(), job.items_per_group));
  }

  void CheckJobs(size_t trainer) {
    TrainerOutcome& outcome = outcomes_[trainer];
    std::erase_if(open_[trainer], [&](OpenJob& job) {
      const Duration age = scheduler.Now() - job.submitted_at;
      const size_t complete = std::min(job.wanted, CompleteGroups(job));
      const bool ends = complete == job.wanted || age >= kLostAfter;
      if (!job.was_due && (ends || age >= kDueAfter)) {
        job.was_due = true;
        outcome.groups_in_time += complete;
        outcome.steps_in_time += complete == job.wanted ? 1 : 0;
      }
      if (!ends) return false;
      outcome.longest_step_seconds = std::max(outcome.longest_step_seconds, ToSeconds(age));
      group.Propose(EncodeJobCommand({EndJob{job.id, {}}, environment.WallNow()}),
                    [](const absl::StatusOr<std::string>&) {});
      return true;
    });
  }

  bool AnyOpen() const {
    return std::any_of(open_.begin(), open_.end(), [](const auto& jobs) { return !jobs.empty(); });
  }

  const SharingPlay play_;
  RandomEngine random_;
  std::vector<TrainerOutcome> outcomes_;
  std::vector<std::vector<OpenJob>> open_;
};

}  // namespace

std::vector<TrainerOutcome> PlaySharing(const SharingPlay& play) { return Play(play).Run(); }

}  // namespace millstair
