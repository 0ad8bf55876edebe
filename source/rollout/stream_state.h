/// State machine of a stream group: steps, accepted samples and what the trainer has read.
///
/// Exactly once: an accepted sample gets one offset; the trainer's cursor is the only
/// acknowledgement, and reading the same cursor again gives the same samples. A sample that has
/// gone stale since it was read is withdrawn at its offset; the answer that shows this ends at a
/// cursor larger than any given out before, so that the next cursor tells whether the trainer holds
/// the sample or its withdrawal. Only in the second case is the sample generated again.
///
/// Memory: what is acknowledged is dropped. Ids of finished steps are kept for the newest
/// kMaxFinishedSteps, so that a step that is put again long after is still recognized.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "consensus/state_machine.h"
#include "rollout/stream_commands.h"
#include "rollout/stream_data.h"
#include "rollout/stream_faults.h"

namespace millstair {

/// Bounds of a stream's state.
inline constexpr uint64_t kMaxOpenSamples = 65536;
inline constexpr uint64_t kMaxPromptBytes = 32ULL * 1024 * 1024;
/// Accepted and not acknowledged payload beyond which no further step is taken.
inline constexpr uint64_t kMaxPayloadBytes = 64ULL * 1024 * 1024;
inline constexpr uint64_t kMaxFinishedSteps = 32768;
/// Text of one hand-on; a longer one only where a withdrawal asks for it.
inline constexpr uint64_t kMaxDeliveryBytes = 1024 * 1024;
inline constexpr uint32_t kMaxDeliverySamples = 4096;
/// Published versions that are remembered beyond the staleness bound.
inline constexpr uint64_t kMinRetainedVersions = 64;

/// Hears of changes as they are applied on this replica. Must not change the state.
class StreamListener {
 public:
  virtual ~StreamListener() = default;
  /// A sample is to be generated.
  virtual void OnSampleOpened(const SampleKey& key) = 0;
  /// It is no more: accepted, or held by the trainer.
  virtual void OnSampleClosed(const SampleKey& key) = 0;
  virtual void OnSampleAccepted(const SampleKey& key, const Sample& sample) = 0;
  /// Something was appended, read or published.
  virtual void OnProgress() = 0;
  /// The whole state was replaced by a snapshot.
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
  /// Place of `sample` in the steps that are not finished; none if it is not there.
  std::optional<SampleKey> FindSample(const SampleId& sample) const;
  bool IsOpen(const SampleKey& key) const { return data_.open.contains(key); }
  /// Id, text and length limit of a sample that is not done.
  Prompt PromptOf(const SampleKey& key) const;
  /// At most one listener; null takes it back.
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
  /// Why `sample` can't be accepted; none if it can.
  std::optional<StreamResult> CheckAppend(const Sample& sample, const SampleKey& key) const;
  bool IsStale(const Sample& sample, WeightVersion newest) const;

  void Acknowledge(StreamOffset through);
  void Settle(const StreamEntry& entry, StreamOffset through);
  /// Withdraws what went stale without ever having been read.
  void WithdrawUnread();
  /// Withdraws what went stale after it was read.
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
