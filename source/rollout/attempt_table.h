/// Leased attempts of a stream, in the memory of its leader. Soft state: a new leader rebuilds it
/// from the reports of the gateways. An attempt that is granted twice does no harm, because only
/// the first valid completion of a sample is accepted.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "rollout/stream_commands.h"
#include "rollout/stream_data.h"

namespace millstair {

struct LeasedAttempt {
  AttemptEpoch epoch;
  NodeId gateway;
  TimePoint granted_at;
  /// When it was granted or last reported by the gateway.
  TimePoint last_seen_at;
  uint32_t tokens_done = 0;
  TimePoint progress_at;
  WeightVersion oldest_version;
  uint32_t expected_tokens = 0;
};

/// Progress of a returned attempt, from which the next attempt resumes.
struct ResumePoint {
  std::vector<std::string> tokens;
  std::vector<VersionSpan> spans;
  std::string kv_source;
};

struct AttemptTiming {
  /// An attempt that its gateway has not reported for this long is lost.
  Duration lease = std::chrono::seconds(5);
  /// An attempt is lost if its gateway sends a request this long after the attempt was granted or
  /// last reported, and does not list it.
  Duration unlisted_grace = std::chrono::milliseconds(1500);
};

/// Lives on the node's serial executor.
class AttemptTable {
 public:
  explicit AttemptTable(AttemptTiming timing) : timing_(timing) {}

  LeasedAttempt& Grant(TimePoint now, const SampleKey& key, AttemptEpoch epoch,
                       const NodeId& gateway);
  /// Records that `gateway` runs an attempt. Returns false if the attempt must be stopped.
  bool OnAttemptReported(TimePoint now, const SampleKey& key, const NodeId& gateway,
                         const WorkRequest::Running& running);
  /// Ends the attempt of `epoch`; false if it is unknown.
  bool End(const SampleKey& key, AttemptEpoch epoch);
  /// Removes all attempts and the resume point of a settled sample.
  void Forget(const SampleKey& key);
  void Clear();

  /// Last contact with a gateway, and whether the configuration marks it as gone.
  struct GatewayLiveness {
    TimePoint last_seen_at;
    bool gone = false;
  };
  /// Drops lost attempts. Returns the samples that have no attempt left.
  std::vector<SampleKey> DropLost(TimePoint now, const std::map<NodeId, GatewayLiveness>& gateways);

  const std::map<SampleKey, std::vector<LeasedAttempt>>& attempts() const { return attempts_; }
  bool Running(const SampleKey& key) const { return attempts_.contains(key); }
  uint32_t in_flight() const { return in_flight_; }

  /// Saves `point` if it has more tokens than the one saved before.
  void SaveResumePoint(const SampleKey& key, ResumePoint point);
  const ResumePoint* FindResumePoint(const SampleKey& key) const;
  void DropResumePoint(const SampleKey& key) { resume_points_.erase(key); }

 private:
  bool IsLost(TimePoint now, const LeasedAttempt& attempt,
              const std::map<NodeId, GatewayLiveness>& gateways) const;

  AttemptTiming timing_;
  std::map<SampleKey, std::vector<LeasedAttempt>> attempts_;
  std::map<SampleKey, ResumePoint> resume_points_;
  uint32_t in_flight_ = 0;
};

}  // namespace millstair
