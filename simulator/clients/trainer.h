/// A trainer: submits steps of prompts ahead, reads its stream by cursor, trains on each complete
/// step, and publishes new weights. Retries lost responses and resumes from its cursor after a
/// crash.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "boost/json.hpp"
#include "simulator/clients/request_client.h"
#include "simulator/fleet/back_ends.h"
#include "simulator/fleet/deployment.h"
#include "simulator/fleet/fleet.h"
#include "simulator/fleet/run_context.h"

namespace millstair::simulator {

/// Measurements of one trainer.
struct TrainerRecord {
  Duration waited{0};
  Duration worked{0};
  uint64_t steps_completed = 0;
  uint64_t steps_in_time = 0;
  uint64_t withdrawn = 0;
  /// One entry per sample, at its first delivery.
  std::vector<uint64_t> staleness;
};

class Trainer {
 public:
  Trainer(RunContext& context, Platform& platform, const DeploymentPlan& plan,
          const StreamPlan& stream, const TrainerLoad& load, PromptRegistry& prompts);

  /// Starts no new step after `until`.
  void Start(Duration until);
  /// Crashes the process, which drops its requests and timers; `BringUp` resumes with saved state.
  void TakeDown();
  void BringUp();
  void SetAnswerLoss(double share) { client_.SetAnswerLoss(share); }

  const TrainerRecord& record() const { return record_; }

 private:
  struct Step {
    size_t put_record = 0;
    std::set<SampleId> missing;
    bool acknowledged = false;
    std::optional<size_t> demand;
  };

  void Publish(WeightVersion version);
  void SendPublish();
  void PutStepsAhead();
  void PutStep(uint64_t number);
  void SendStep(uint64_t number);
  void WaitForStep();
  void Read();
  void HandleAnswer(const CompleteAnswer& answer, Duration sent);
  void HandleSamples(const boost::json::object& answer, Duration sent);
  void HandleSample(const checks::ReceivedSample& sample);
  void OnStepComplete();
  void OnTrained();
  /// Runs `action` after `delay` unless the process crashes before.
  void After(Duration delay, std::function<void()> action);
  const std::string& DrawGateway();

  RunContext& context_;
  Platform& platform_;
  const DeploymentPlan& plan_;
  StreamPlan stream_;
  TrainerLoad load_;
  PromptRegistry& prompts_;
  RandomEngine random_;
  RequestClient client_;
  Duration until_{0};
  /// Incremented at each crash.
  uint64_t incarnation_ = 0;
  bool running_ = false;
  bool training_ = false;
  StreamOffset cursor_;
  /// Step that the trainer waits for or trains on; the first is 1.
  uint64_t current_ = 1;
  uint64_t next_put_ = 1;
  std::map<uint64_t, Step> steps_;
  /// Received samples by offset, to process withdrawals.
  std::map<StreamOffset, SampleId> received_;
  std::set<SampleId> seen_;
  /// Newest acknowledged version, and the version being published.
  WeightVersion published_;
  WeightVersion publishing_;
  size_t publish_record_ = 0;
  size_t publish_demand_ = 0;
  Duration waiting_since_{0};
  TrainerRecord record_;
};

}  // namespace millstair::simulator
