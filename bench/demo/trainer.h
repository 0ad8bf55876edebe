/// A simulated trainer: submits steps of prompts, reads samples by cursor, publishes weights.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench/demo/demo_run.h"

namespace millstair {

struct TrainerReport {
  uint64_t steps = 0;
  uint64_t samples = 0;
  uint64_t withdrawn = 0;
  uint64_t versions = 0;
  /// Time spent waiting for a complete step, and total time since the first step was submitted.
  Duration idle{0};
  Duration total{0};
  /// Latest version of the trainer minus the oldest one in the sample, at each delivery.
  std::vector<double> staleness;
};

/// Not thread-safe.
class Trainer {
 public:
  explicit Trainer(DemoRun& run) : run_(run) {}

  /// Publishes the first weights; true once a gateway accepted them. Gives up after `limit`.
  bool PublishInitialVersion(Duration limit);
  /// Processes steps until the run stops, then waits at most `grace` for the open ones.
  void Run(Duration grace);
  const TrainerReport& report() const { return report_; }

 private:
  struct OpenStep {
    std::string id;
    std::set<std::string> missing;
    /// Positions in the steps and demands of the history.
    size_t step_index = 0;
    size_t demand_index = 0;
  };

  bool PutStep();
  /// Reads until the oldest open step is complete. False if `deadline` passed first.
  bool CollectOldest(Duration deadline);
  bool ReadOnce();
  void HandleSamples(const checks::CursorRead& read);
  bool Publish(Duration limit);
  Duration GiveUpTime(Duration grace) const;

  DemoRun& run_;
  TrainerReport report_;
  std::vector<OpenStep> open_;
  std::map<uint64_t, std::string> by_offset_;
  StreamOffset cursor_;
  uint64_t next_step_ = 1;
  uint64_t version_ = 0;
  uint64_t reads_ = 0;
};

}  // namespace millstair
