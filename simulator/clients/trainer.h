/// A trainer: puts steps of prompts ahead, reads its stream by cursor, trains on each whole step,
/// and publishes new weights. Loses answers, asks again, and may die and go on from its cursor.
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

/// What one trainer measured.
struct TrainerRecord {
  Duration waited{0};
  Duration worked{0};
  uint64_t steps_completed = 0;
  uint64_t steps_in_time = 0;
  uint64_t withdrawn = 0;
  /// One per sample, at its first hand-on.
  std::vector<uint64_t> staleness;
};

class Trainer {
 public:
  Trainer(RunContext& context, Platform& platform, const DeploymentPlan& plan,
          const StreamPlan& stream, const TrainerLoad& load, PromptRegistry& prompts);

  /// Begins no new step after `until`.
  void Start(Duration until);
  /// The process dies and loses all but its cursor and the samples received; `BringUp` goes on.
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
  /// Runs `action` after `delay` unless the process died in between.
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
  /// Counts processes.
  uint64_t incarnation_ = 0;
  bool running_ = false;
  bool training_ = false;
  StreamOffset cursor_;
  /// Step waited for or trained on; the first is 1.
  uint64_t current_ = 1;
  uint64_t next_put_ = 1;
  std::map<uint64_t, Step> steps_;
  /// Samples held, by offset, to take withdrawals back.
  std::map<StreamOffset, SampleId> received_;
  std::set<SampleId> seen_;
  /// Newest version that was acknowledged, and the one being published.
  WeightVersion published_;
  WeightVersion publishing_;
  size_t publish_record_ = 0;
  size_t publish_demand_ = 0;
  Duration waiting_since_{0};
  TrainerRecord record_;
};

}  // namespace millstair::simulator
