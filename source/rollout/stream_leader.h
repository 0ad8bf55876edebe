/// Leader of a stream: leases attempts to gateways, holds trainers' queries until there is
/// something to read, and keeps the log of the stream in sync with the configuration.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/control_node.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "common/scoped_timer.h"
#include "rollout/attempt_table.h"
#include "rollout/length_estimator.h"
#include "rollout/stream_factory.h"
#include "rollout/stream_state.h"
#include "rollout/work_schedule.h"

namespace millstair {

/// Lives on the node's serial executor. Exists on each replica of the group; only the leader acts.
class StreamLeaderNode : public StreamLeader, private StreamListener {
 public:
  StreamLeaderNode(Environment& environment, PeerTransport& transport, RaftGroup& group,
                   StreamState& state, StreamLeaderOptions options);
  ~StreamLeaderNode() override;

  void ReceiveWork(const NodeId& from, const PeerMessage& message) override;
  void Query(const std::string& query,
             std::function<void(absl::StatusOr<std::string>)> done) override;
  void OnChange(const Configuration& configuration) override;

 private:
  /// Settings of this stream from the configuration.
  struct Settings {
    StreamSpec stream;
    std::vector<PublishedVersion> published;
    WeightVersion active;
    /// Maximum concurrent attempts of this stream: its share of the pool.
    uint32_t max_in_flight = 0;
    std::map<NodeId, bool> gone_gateways;
  };
  /// A gateway that requests work.
  struct Requester {
    uint32_t free_slots = 0;
    uint64_t sequence = 0;
    TimePoint requested_at;
    /// The latest request has not been replied to yet.
    bool reply_due = false;
    std::vector<WorkReply::Cancelled> cancelled;
    std::vector<Attempt> granted;
  };
  struct HeldQuery {
    StreamOffset after;
    TimePoint until;
    std::function<void(absl::StatusOr<std::string>)> done;
  };

  void OnSampleOpened(const SampleKey& key) override;
  void OnSampleClosed(const SampleKey& key) override;
  void OnSampleAccepted(const SampleKey& key, const Sample& sample) override;
  void OnProgress() override;
  void OnSnapshotRestored() override;

  // Leadership.
  void UpdateLeadership();
  bool Leads() const { return leading_ && group_.IsLeader(); }
  void Tick();
  void RebuildSchedule();

  // Synchronization with the configuration.
  void SyncWithConfiguration();
  std::optional<StreamCommand> NextSyncCommand() const;
  bool InSync() const { return settings_.has_value() && !NextSyncCommand().has_value(); }

  // Work.
  void HandleReturned(const WorkRequest& request);
  void HandleRunning(const WorkRequest& request, Requester& requester);
  bool IsTooStale(const LeasedAttempt& attempt) const;
  void Enqueue(const SampleKey& key, bool urgent);
  void ScheduleFlush();
  void Flush();
  void GrantRound();
  bool GrantOne(const NodeId& gateway, Requester& requester);
  void Grant(const NodeId& gateway, Requester& requester, const SampleKey& key);
  std::optional<SampleKey> FindHedgeCandidate(const NodeId& gateway) const;
  void StopAttempt(const SampleKey& key, const LeasedAttempt& attempt);
  void StopStaleAttempts();
  void RestartEarlyAttempts();
  ScheduleContext MakeScheduleContext() const;
  uint32_t ExpectedTokens(const SampleKey& key) const;

  // Queries.
  bool HasReadable(StreamOffset after) const;
  bool IsTrainerWaiting() const;
  std::string Status() const;
  void AnswerQueries(bool all);

  Environment& environment_;
  PeerTransport& transport_;
  RaftGroup& group_;
  StreamState& state_;
  StreamLeaderOptions options_;
  StreamName stream_;

  std::optional<Settings> settings_;
  bool leading_ = false;
  Term led_term_;
  TimePoint leader_since_;
  uint32_t last_epoch_ = 0;
  bool syncing_ = false;
  /// Version that engines are to serve, since when, and whether early attempts were restarted for
  /// it.
  WeightVersion active_;
  TimePoint active_since_;
  bool restarted_for_active_ = true;
  std::optional<TimePoint> trainer_waited_at_;

  LengthEstimator lengths_;
  WorkSchedule schedule_;
  AttemptTable attempts_;
  std::map<NodeId, Requester> requesters_;
  std::vector<HeldQuery> queries_;

  ScopedTimer tick_timer_;
  ScopedTimer flush_timer_;
  ScopedTimer query_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
