/// A trainer: puts steps of prompts, reads samples by cursor, trains, publishes weights.
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
  /// Time without a whole step to train on, and all time since the first step was asked for.
  Duration idle{0};
  Duration total{0};
  /// Newest acknowledged version minus the oldest in the sample, at each hand-on.
  std::vector<double> staleness;
};

/// Lives on one thread.
class Trainer {
 public:
  explicit Trainer(DemoRun& run) : run_(run) {}

  /// Publishes the first weights; true once a gateway took them. Gives up after `limit`.
  bool PublishFirst(Duration limit);
  /// Step after step until the run stops; steps under way are then finished, for at most `grace`.
  void Run(Duration grace);
  const TrainerReport& report() const { return report_; }

 private:
  struct OpenStep {
    std::string id;
    std::set<std::string> missing;
    /// Position in the history's steps and demands.
    size_t step_index = 0;
    size_t demand_index = 0;
  };

  bool PutStep();
  /// Reads until the oldest open step is whole. False when time is over.
  bool CollectOldest(Duration give_up);
  bool ReadOnce();
  void TakeSamples(const checks::CursorRead& read);
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
