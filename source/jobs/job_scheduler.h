/// Runs the items of batch jobs on the leader of their group: which item goes to which engine, what
/// follows when a run breaks, the scoring of whole texts, and the proposals that list results.
/// Long texts are kept in the group's log now and then; the next leader goes on after what was
/// kept. Whatever else is held here is lost with the leadership.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "consensus/raft_group.h"
#include "ingress/ingress_service.h"
#include "jobs/engine_snapshot.h"
#include "jobs/engine_speed_tracker.h"
#include "jobs/item_lengths.h"
#include "jobs/item_order.h"
#include "jobs/item_run.h"
#include "jobs/job_state_machine.h"
#include "jobs/load_scheduler.h"
#include "jobs/partial_text_cache.h"
#include "jobs/placement.h"

namespace millstair {

/// How long a text grows before it is kept, and from then on before it is kept again.
inline constexpr Duration kMinSaveInterval = std::chrono::milliseconds(750);

struct JobSchedulerOptions {
  /// Without a byte for this long a run is broken off and goes on elsewhere, at the latest; earlier
  /// where the engine's pace says that its next event should long have come.
  Duration stall_timeout = std::chrono::milliseconds(2500);
  /// An item whose route states none is given up after this long.
  Duration item_lifetime = std::chrono::minutes(10);
};

/// Lives on the node's serial executor.
class JobScheduler {
 public:
  JobScheduler(Environment& environment, HttpCaller& http, IngressService& ingress,
               LoadScheduler& loads, const JobStateMachine& state, RaftGroup& group,
               JobSchedulerOptions options, StatsRegistry* stats = nullptr);
  ~JobScheduler();

  /// Ends all work. With `leading`, it begins anew once everything that earlier leaders committed
  /// is applied here: before that, listed items would be run again and kept texts be overwritten.
  void SetLeading(bool leading);
  /// May new work be given out: the configuration held is proven fresh.
  void SetMayStartWork(std::function<bool()> allowed) { may_start_work_ = std::move(allowed); }
  /// The state machine applied a change; work is done from a timer.
  void OnStateChange(JobChange change, const JobId& job);
  /// Back ends, routes or versions changed.
  void Pump();

 private:
  enum class Phase : uint8_t { kWaiting, kRunning, kScoring, kRecording };
  struct Work {
    JobId job;
    uint32_t index = 0;
    /// Place among the items of its job.
    uint64_t order = 0;
    /// Its client is not expected to wait for its group.
    bool spare = false;
    /// When it has to begin so that it can be whole when its job is due; set while it waits.
    TimePoint latest_start;
    Phase phase = Phase::kWaiting;
    ItemProgress progress;
    /// What of `progress` the group's log holds.
    uint64_t saved_events = 0;
    size_t saved_bytes = 0;
    TimePoint next_save_at;
    uint32_t server_errors = 0;
    uint32_t scoring_errors = 0;
    TimePoint not_before;
    /// The engine that failed it last.
    InstanceId avoid;
    std::unique_ptr<ItemRun> run;
    std::optional<IngressService::FlowId> scoring;
    /// Name of the route by which it is scored; empty if there was none.
    std::string scoring_route;
    /// Tells the item's content from others; made when it is first needed.
    std::optional<RequestFingerprint> fingerprint;
    /// Events of the text when the latest of its runs lost its engine.
    std::optional<uint64_t> lost_after_events;
    /// The item is held, and the cluster is asked for a trial, or has granted one that no run has
    /// used yet.
    bool trial_requested = false;
    bool trial_granted = false;
    /// The present run is a trial.
    bool runs_on_trial = false;
    /// How often it was moved to a faster engine.
    uint32_t moves = 0;
    JobResult result;
  };
  struct JobWork {
    uint64_t order = 0;
    uint32_t priority = 0;
    std::vector<std::unique_ptr<Work>> items;
    /// Engine that ran the latest item of a group.
    std::map<std::string, InstanceId> group_engines;
  };
  /// Urgent jobs first, items of spare groups last; of the others, over all jobs, those first that
  /// have the least time to spare.
  struct Rank {
    uint32_t priority = 0;
    bool spare = false;
    TimePoint latest_start;
    uint64_t job_order = 0;
    uint64_t item_order = 0;
    JobId job;
    uint32_t index = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;  // NOLINT
  };

  void CatchUp();
  void StartWork();
  void AddJob(const JobRecord& record);
  void DropJob(const JobId& job);
  Rank RankOf(const Work& work) const;
  /// Learns from items that come back by how many versions their clients have moved on.
  void UpdateReturnLag(const JobRecord& record);
  /// The oldest weights with which `work` is worth beginning now. A group that its client does not
  /// wait for comes back in a later job, which can go on after its text only if that was made by
  /// weights new enough for that job.
  WeightVersion MinUsefulVersion(const Work& work, const JobRecord& record) const;
  /// Puts `work` among the waiting items.
  void Enqueue(Work& work, const JobRecord& record);
  /// When the results of the job are due.
  TimePoint DueAt(const JobRecord& record) const;
  /// Events that are expected to be missing of the item's text; one at least.
  double RemainingEvents(const Work& work, const JobRecord& record) const;
  /// As the configuration tells of the engines of the job's service; 0 is unknown.
  uint64_t TokensPerEvent(const JobRecord& record) const;
  /// Notes how long the items of an ended job are, as far as is known.
  void UpdateLengths(const JobRecord& record);
  /// Takes up the whole text that an earlier job lists of the same item, if its versions fit. An
  /// item is not run again without need: its earlier result may still be read, and is judged
  /// against what engines made of the item until then.
  bool ReuseRecordedText(const JobRecord& record, Work& work);
  /// Takes up text that an earlier job left of the same items.
  void UseSavedText(const JobRecord& record, Work& work);
  void CachePartialText(const JobRecord* record, Work& work);
  /// Text that ended jobs left in the group's log.
  void LoadPartialTexts();
  void ScheduleSave();
  /// Proposes what long texts grew by.
  void SaveLongTexts();
  std::vector<ProgressPart> CollectProgress();
  /// The next part replaces what the group's log holds.
  static void MarkUnsaved(Work& work);
  void MarkUnsaved(const std::vector<ProgressPart>& parts);
  void DropRecorded(const JobId& job);
  void HandleChanges();
  void SchedulePump(Duration delay);
  /// A run that could go on at a faster engine.
  struct MoveCandidate {
    double remaining_events = 0;
    Work* work = nullptr;
    const JobRecord* record = nullptr;
    const Route* route = nullptr;
  };

  void DispatchWaiting(EngineSnapshot& snapshot);
  /// Runs go on at faster engines that have room left, those first that are far from whole.
  void MoveToFasterEngines(EngineSnapshot& snapshot);
  /// Items of `route` wait and found no engine.
  void ReportNoFreeSlot(const Route& route);
  /// Those first that are far from whole.
  std::vector<MoveCandidate> MoveCandidates();
  bool Move(EngineSnapshot& snapshot, const MoveCandidate& candidate);
  /// False while the item is held because engines ended under it: then it waits on.
  bool MaySend(Work& work, const JobRecord& record);
  void RequestTrial(Work& work, const RequestFingerprint& item);
  /// `work` goes and has not used the trial that it was granted, if any.
  void ReturnTrial(Work& work);
  const RequestFingerprint& FingerprintOf(Work& work, const JobRecord& record);
  /// Tells the guard how the run that just ended speaks for or against the item.
  void ReportRunEnd(Work& work, const JobRecord& record, const BackendInstance& engine,
                    ItemRunEnd end);
  bool Dispatch(EngineSnapshot& snapshot, Work& work, const JobRecord& record, const Route& route);
  void StartRun(Work& work, const JobRecord& record, const Route& route,
                const BackendInstance& engine);
  BackendRequest RequestFor(const Work& work, const JobRecord& record, const Route& route,
                            const InstanceId& engine) const;
  /// Whether only engines of the version that made the text so far may go on with it.
  static bool RequiresSameVersion(const Work& work, const Route& route);
  bool AnyEngineHolds(const Route& route, const ModelName& model, WeightVersion version) const;
  /// Without a byte for this long a run at `engine` counts as broken.
  Duration StallTimeout(const InstanceId& engine) const;
  /// Engine that ran the latest item of the same group; empty if none did.
  InstanceId SiblingEngine(const Work& work, const JobRecord& record) const;
  /// Where the rest of `work` is expected to be whole first; null if no engine may begin it now.
  const BackendInstance* PickEngine(EngineSnapshot& snapshot, Work& work, const JobRecord& record,
                                    const Route& route);
  void OnRunEnd(const JobId& job, uint32_t index, ItemRunEnd end, const std::string& reason);
  void Requeue(Work& work, Duration pause);
  void DiscardProgress(Work& work);
  /// Has the whole text judged once the scorers have a place for it.
  void Score(Work& work, const JobRecord& record);
  /// Begins scorings that wait, those first that have the least time to spare. No more run at once
  /// than the live scorers work on: a burst of whole texts would fill their queues, in which the
  /// requests of clients wait too, and be refused and repeated tens of times.
  void StartScoring();
  void SendScoringRequest(Work& work, const JobRecord& record);
  void EndScoring(Work& work);
  /// Whether it runs or waits.
  void CancelScoring(Work& work);
  /// Requests that the live back ends of the route work on at once.
  uint32_t MaxScorings(const std::string& route_name) const;
  void OnScored(const JobId& job, uint32_t index, const ForwardResult& result);
  void FailExpiredItems();
  void RecordOutcome(Work& work, ItemState state, std::string score);
  void Propose(const JobId& job, uint32_t index);
  void OnProposed(const JobId& job, uint32_t index, const absl::StatusOr<std::string>& result);
  void OnRecorded(const JobId& job, uint32_t index);
  Work* FindWork(const JobId& job, uint32_t index);
  const Route* RouteOf(const JobRecord& record) const;
  /// The run's callbacks are still running: it goes a moment later.
  void DropRunLater(Work& work);

  Environment& environment_;
  HttpCaller& http_;
  IngressService& ingress_;
  LoadScheduler& loads_;
  const JobStateMachine& state_;
  RaftGroup& group_;
  const JobSchedulerOptions options_;
  StatsRegistry* const stats_;
  std::function<bool()> may_start_work_ = [] { return true; };
  bool wants_to_lead_ = false;
  /// Leads, and has applied all that earlier leaders committed.
  bool leading_ = false;
  /// In which this replica leads; what it keeps and lists is marked with it.
  Term term_;
  uint64_t next_order_ = 1;
  std::map<JobId, JobWork> jobs_;
  std::set<Rank> waiting_;
  /// Whole texts that wait for a scorer, by the name of their route: one whose scorers are full or
  /// gone holds up no other.
  std::map<std::string, std::set<Rank>> scoring_waiting_;
  /// Scorings under way, by the name of their route.
  std::map<std::string, uint32_t> scorings_;
  PartialTextCache partial_texts_;
  ItemLengths lengths_;
  /// Of each model: how far the oldest allowed weights move on until items come back.
  std::map<ModelName, uint64_t> versions_until_return_;
  EngineSpeedTracker speeds_;
  TimePoint next_moves_at_;
  TimePoint next_pump_at_;
  /// Jobs that changed since the last run of the timer.
  std::set<JobId> changed_;
  bool was_restored_ = false;
  ScopedTimer pump_timer_;
  ScopedTimer change_timer_;
  ScopedTimer save_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
