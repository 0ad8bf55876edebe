/// State machine of a stream group: steps, accepted samples and the read position of the trainer.
///
/// Exactly-once delivery: an accepted sample gets one offset. The cursor of the trainer is the only
/// acknowledgement, and repeating a read at the same cursor returns the same samples. A sample that
/// became stale after it was read is withdrawn at its offset. The response that shows the
/// withdrawal ends at a cursor larger than any issued before, so that the next cursor tells whether
/// the trainer has the sample or its withdrawal. Only in the second case is the sample generated
/// again.
///
/// Memory: acknowledged entries are dropped. The ids of the newest kMaxFinishedSteps finished steps
/// are retained, so that a late duplicate of a step is recognized.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "consensus/state_machine.h"
#include "rollout/stream_commands.h"
#include "rollout/stream_data.h"
#include "rollout/stream_faults.h"

namespace millstair {

/// Limits of the state of a stream.
inline constexpr uint64_t kMaxOpenSamples = 65536;
inline constexpr uint64_t kMaxPromptBytes = 32ULL * 1024 * 1024;
/// Unacknowledged payload beyond which no further step is accepted.
inline constexpr uint64_t kMaxPayloadBytes = 64ULL * 1024 * 1024;
inline constexpr uint64_t kMaxFinishedSteps = 32768;
/// Text bytes of one delivery, exceeded only if a withdrawal requires it.
inline constexpr uint64_t kMaxDeliveryBytes = 1024 * 1024;
inline constexpr uint32_t kMaxDeliverySamples = 4096;
/// Published versions retained behind the newest one, unless the staleness bound is larger.
inline constexpr uint64_t kMinRetainedVersions = 64;

/// Observes changes as they are applied on this replica. Must not change the state.
class StreamListener {
 public:
  virtual ~StreamListener() = default;
  /// The sample must be generated.
  virtual void OnSampleOpened(const SampleKey& key) = 0;
  /// The sample need not be generated any more: accepted, or held by the trainer.
  virtual void OnSampleClosed(const SampleKey& key) = 0;
  virtual void OnSampleAccepted(const SampleKey& key, const Sample& sample) = 0;
  /// Something was appended, read or published.
  virtual void OnProgress() = 0;
  /// The state was replaced by a snapshot.
  virtual void OnSnapshotRestored() = 0;
};

/// Lives on the node's serial executor.
class StreamState : public StateMachine {
 public:
  explicit StreamState(StreamFaults faults = {}) : faults_(faults) {}

  std::string Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() const override;
  absl::Status Restore(LogIndex index, std::string_view snapshot) override;

  /// Applies a decoded command.
  StreamResult Execute(const StreamCommand& command);

  const StreamData& data() const { return data_; }
  /// Position of `sample` among the unfinished steps; nullopt if it is not there.
  std::optional<SampleKey> FindSample(const SampleId& sample) const;
  bool IsOpen(const SampleKey& key) const { return data_.open.contains(key); }
  /// Id, text and length limit of a sample that is not done.
  Prompt PromptOf(const SampleKey& key) const;
  /// At most one listener; null removes it.
  void SetListener(StreamListener* listener) { listener_ = listener; }

 private:
  StreamResult Handle(const PutStep& command);
  StreamResult Handle(const AppendSample& command);
  StreamResult Handle(const RecordPublishedVersion& command);
  StreamResult Handle(const DeliverSamples& command);
  StreamResult Handle(const SetStalenessBound& command);

  StreamResult Result(StreamResultCode code, std::string message = {}) const;
  StreamResult PutKnownStep(const PutStep& command, uint64_t known_digest);
  void CreateStep(const PutStep& command, uint64_t digest);
  void ReopenStep(StepRecord& step, uint64_t sequence, const PutStep& command);
  /// Returns the reason why `sample` can't be accepted; nullopt if it can.
  std::optional<StreamResult> CheckAppend(const Sample& sample, const SampleKey& key) const;
  bool IsStale(const Sample& sample, WeightVersion newest) const;

  void Acknowledge(StreamOffset through);
  void Settle(const StreamEntry& entry, StreamOffset through);
  /// Withdraws samples that became stale before they were read.
  void WithdrawUnread();
  /// Withdraws samples that became stale after they were read.
  void WithdrawRead();
  void Withdraw(StreamEntry& entry);
  void AppendMarker(const StreamEntry& entry);
  void FillDelivery(const DeliverSamples& command, StreamResult& result);

  void SetSampleState(const SampleKey& key, SampleState state);
  void FinishStep(uint64_t sequence);
  void PruneVersions();

  StreamFaults faults_;
  StreamData data_;
  StreamListener* listener_ = nullptr;
};

}  // namespace millstair
