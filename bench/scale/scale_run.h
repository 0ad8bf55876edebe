/// Measures a running fleet of real control nodes, real gateways and hollow nodes.
#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "bench/scale/scale_resources.h"
#include "ctl/blocking_client.h"
#include "ctl/control_api.h"

namespace millstair {

/// A process whose use of the machine is measured.
struct MeasuredProcess {
  std::string name;
  int pid = 0;
};

struct ScaleOptions {
  /// HTTP of the control nodes; `control` names the same nodes in the same order.
  std::vector<std::string> control_http;
  std::vector<MeasuredProcess> control;
  std::vector<MeasuredProcess> gateways;
  /// HTTP of a real gateway, for publishing weights.
  std::string gateway_http;
  /// State pages of the hollow hosts.
  std::vector<std::string> hollow;
  /// Hollow nodes in all.
  size_t nodes = 0;
  ScaleShape shape;
  uint32_t changes = 20;
  uint32_t publishes = 3;
  /// Length of each window in which cost is measured.
  Duration window = std::chrono::seconds(20);
  /// A wait that takes longer fails the run.
  Duration patience = std::chrono::seconds(90);
};

/// Cost of control over a window: shares are of one core.
struct ControlCost {
  double node_core_share = 0;
  double node_megabytes = 0;
  double node_bytes_per_second = 0;
  double node_messages_per_second = 0;
  double control_core_share_max = 0;
  double control_megabytes_max = 0;
};

/// Distribution of times, in milliseconds.
struct TimeSpread {
  double p50_ms = 0;
  double max_ms = 0;
  size_t samples = 0;
};

struct ScaleReport {
  size_t nodes = 0;
  uint32_t servers = 0;
  double all_ready_s = 0;
  ControlCost steady;
  /// While configuration changes.
  ControlCost changing;
  /// From the send of a change until a node held it, over changes and nodes.
  TimeSpread in_force;
  /// From the send of a publish until a server served it.
  TimeSpread published;
  /// From the first server on a version to each other one.
  TimeSpread activated;
  /// From the loss of a node until another saw it gone.
  TimeSpread lost_node;
  /// From the kill of the cluster leader until a change was accepted again, and until all held it.
  double leader_failover_ms = 0;
  double leader_failover_in_force_ms = 0;
};

class ScaleRun {
 public:
  ScaleRun(BlockingCaller& caller, ScaleOptions options);

  /// Runs all steps; the error names the step that failed.
  absl::Status Run();
  const ScaleReport& report() const { return report_; }

 private:
  absl::Status WaitUntilReady();
  absl::Status ApplyResources();
  absl::Status MeasureSteady();
  absl::Status MeasureChanges();
  absl::Status MeasurePublishes();
  absl::Status MeasureLostNode();
  absl::Status MeasureLeaderFailover();

  /// One change of a label; the revision and when it was sent.
  struct SentChange {
    Revision revision;
    int64_t sent_us = 0;
  };
  absl::StatusOr<SentChange> ChangeSomething();
  absl::Status WaitInForce(const SentChange& change, std::vector<double>& times_ms);
  absl::StatusOr<std::string> LeaderOfCluster();
  absl::Status PublishVersion(WeightVersion version);

  BlockingCaller& caller_;
  ScaleOptions options_;
  ControlApi api_;
  ScaleReport report_;
  uint64_t next_label_ = 0;
};

/// The report as aligned lines.
std::string ToText(const ScaleReport& report);
/// Header and row for a CSV file that gathers runs of several sizes.
std::string ScaleCsvHeader();
std::string ToCsvRow(const ScaleReport& report);

}  // namespace millstair
