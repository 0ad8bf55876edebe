/// Leased attempts of a stream, in the memory of its leader. Soft state: a new leader learns from
/// the gateways what runs, and an attempt that is issued twice does no harm, because the first
/// valid completion of a sample wins.
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
  /// When the gateway listed it last, or it was granted.
  TimePoint last_seen_at;
  uint32_t tokens_done = 0;
  TimePoint progress_at;
  WeightVersion oldest_version;
  uint32_t expected_tokens = 0;
};

/// Where a sample that was given back goes on.
struct ResumePoint {
  std::vector<std::string> tokens;
  std::vector<VersionSpan> spans;
  std::string kv_source;
};

struct AttemptTiming {
  /// Without a word of its gateway for this long an attempt is lost.
  Duration lease = std::chrono::seconds(5);
  /// A gateway that is heard this long after an attempt was granted or last listed, and does not
  /// list it, does not run it.
  Duration unlisted_grace = std::chrono::milliseconds(1500);
};

/// Lives on the executor of the stream leader.
class AttemptTable {
 public:
  explicit AttemptTable(AttemptTiming timing) : timing_(timing) {}

  LeasedAttempt& Grant(TimePoint now, const SampleKey& key, AttemptEpoch epoch,
                       const NodeId& gateway);
  /// Takes in that `gateway` runs an attempt. False if it is to be stopped.
  bool OnAttemptReported(TimePoint now, const SampleKey& key, const NodeId& gateway,
                         const WorkRequest::Running& running);
  /// Ends the attempt of `epoch`; false if it was not known.
  bool End(const SampleKey& key, AttemptEpoch epoch);
  /// The sample is settled: forgets its attempts and resume point.
  void Forget(const SampleKey& key);
  void Clear();

  /// What is known of a gateway.
  struct GatewayLiveness {
    TimePoint last_seen_at;
    bool gone = false;
  };
  /// Drops lost attempts; the samples that no attempt is left of.
  std::vector<SampleKey> DropLost(TimePoint now, const std::map<NodeId, GatewayLiveness>& gateways);

  const std::map<SampleKey, std::vector<LeasedAttempt>>& attempts() const { return attempts_; }
  bool Running(const SampleKey& key) const { return attempts_.contains(key); }
  uint32_t in_flight() const { return in_flight_; }

  /// Keeps the further one of the resume points given.
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
