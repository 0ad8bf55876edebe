/// Runs the items of batch jobs on the leader of their group: assigns items to engines, handles
/// failed runs, has complete texts scored and proposes the results. The progress of long texts is
/// saved to the group's log periodically, and a new leader resumes from it. All other state here is
/// lost with the leadership.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/pool_records.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "consensus/raft_group.h"
#include "ingress/ingress_service.h"
#include "jobs/engine_pace_recorder.h"
#include "jobs/engine_snapshot.h"
#include "jobs/engine_speed_tracker.h"
#include "jobs/item_lengths.h"
#include "jobs/item_order.h"
#include "jobs/item_run.h"
#include "jobs/job_admission.h"
#include "jobs/job_clock_keeper.h"
#include "jobs/job_report.h"
#include "jobs/job_state_machine.h"
#include "jobs/load_scheduler.h"
#include "jobs/partial_text_cache.h"
#include "jobs/placement.h"
#include "jobs/step_forecast.h"

namespace millstair {

/// Minimum time from the start of a run to the first save of its text, and between saves.
inline constexpr Duration kMinSaveInterval = std::chrono::milliseconds(750);

struct JobSchedulerOptions {
  /// A run that receives no byte for this long is aborted and resumed at another engine. The
  /// timeout is shorter for engines whose events are known to arrive faster.
  Duration stall_timeout = std::chrono::milliseconds(2500);
  /// Lifetime of an item whose route sets none.
  Duration item_lifetime = std::chrono::minutes(10);
  /// Jobs share engines by how late they are, instead of by the latest start of their items alone.
  bool shares_steps = false;
};

/// Lives on the node's serial executor.
class JobScheduler {
 public:
  JobScheduler(Environment& environment, HttpCaller& http, IngressService& ingress,
               LoadScheduler& loads, const JobStateMachine& state, RaftGroup& group,
               JobSchedulerOptions options, StatsRegistry* stats = nullptr);
  ~JobScheduler();

  /// Stops all work. With `leading`, restarts it once everything that earlier leaders committed is
  /// applied here: before that, recorded items would be run again and saved texts be overwritten.
  void SetLeading(bool leading);
  /// Whether new work may start: the configuration held is confirmed current.
  void SetMayStartWork(std::function<bool()> allowed) { may_start_work_ = std::move(allowed); }
  /// See EnginePaceRecorder::SetSupportCheck.
  void SetPaceSupportCheck(EnginePaceRecorder::SupportCheck check) {
    pace_recorder_.SetSupportCheck(std::move(check));
  }
  /// The state machine applied a change. It is handled from a timer.
  void OnStateChange(JobChange change, const JobId& job);
  /// Stops the work of a job whose owner asked for its end; the end need not be committed. While
  /// this replica leads, no item of the job runs here again.
  void OnEndReceived(const JobId& job);
  /// Why the job that is about to be proposed can't be served, or nothing if it may be accepted.
  /// See DecideAdmission.
  std::optional<JobRejection> RejectionOf(const JobSpec& spec) const;
  /// Runs a scheduling pass, or schedules one if the last was too recent. Call it when back ends,
  /// routes or versions changed.
  void Pump();
  /// What the jobs need of each service whose servers can be ordered; empty if there is none, or
  /// while this replica does not lead.
  std::vector<PoolNeed> PoolNeeds() const;

 private:
  enum class Phase : uint8_t { kWaiting, kRunning, kScoring, kRecording };
  struct Work {
    JobId job;
    uint32_t index = 0;
    /// Position among the items of its job.
    uint64_t order = 0;
    /// The client is not expected to wait for the item's group.
    bool spare = false;
    /// Index of its group in its job.
    size_t group = 0;
    /// According to the latest forecast; otherwise planned unless it is spare.
    GroupTier tier = GroupTier::kPlanned;
    /// See JobForecast::order; 0 also for planned items that must start now.
    size_t group_order = 0;
    /// Latest start at which the item is expected to complete by its job's deadline; set while it
    /// waits.
    TimePoint latest_start;
    Phase phase = Phase::kWaiting;
    ItemProgress progress;
    /// The part of `progress` that is saved in the group's log.
    uint64_t saved_events = 0;
    size_t saved_bytes = 0;
    TimePoint next_save_at;
    uint32_t server_errors = 0;
    uint32_t scoring_errors = 0;
    TimePoint not_before;
    /// The engine at which its last run failed.
    InstanceId avoid;
    std::unique_ptr<ItemRun> run;
    std::optional<IngressService::FlowId> scoring;
    /// Name of the route to its scorer; empty if no route matched.
    std::string scoring_route;
    /// Identifies the item's content; computed on first use.
    std::optional<RequestFingerprint> fingerprint;
    /// Events of the text when its latest run lost the engine.
    std::optional<uint64_t> lost_after_events;
    /// Number of times that it was moved to a faster engine.
    uint32_t moves = 0;
    ItemHistory history;
    JobResult result;
  };
  struct JobWork {
    uint64_t order = 0;
    uint32_t priority = 0;
    /// See JobForecast::position.
    int64_t position = 0;
    /// The forecast was late once, and the log says so.
    bool reported_late = false;
    std::vector<std::unique_ptr<Work>> items;
    /// By index of the item, also of those with a result.
    std::vector<size_t> group_of_item;
    std::vector<ForecastGroup> groups;
    /// By group: the engine that ran its latest item.
    std::map<std::string, InstanceId> group_engines;
    /// Under this leader, for the log; the epoch until then.
    TimePoint first_run_at;
    TimePoint last_listed_at;
  };
  /// Order of the queue: by the priority of the job, then items of spare groups last, then by the
  /// latest start. If jobs share engines by their lateness, items of deferred groups follow those
  /// of planned ones, the latest jobs come first within a tier, and their groups one after the
  /// other.
  struct Rank {
    uint32_t priority = 0;
    GroupTier tier = GroupTier::kPlanned;
    int64_t position = 0;
    size_t group_order = 0;
    TimePoint latest_start;
    uint64_t job_order = 0;
    uint64_t item_order = 0;
    JobId job;
    uint32_t index = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;  // NOLINT
  };

  void CatchUp();
  void StartWork();
  /// Starts with the paces of engines that the leader before recorded.
  void RestorePaces();
  /// Not if it has ended, its end was received, or it has no items.
  bool IsToRun(const JobRecord& record) const;
  void AddJob(const JobRecord& record);
  void DropJob(const JobId& job);
  Rank RankOf(const Work& work) const;
  /// Updates the version lag of the model from items that an earlier job contained.
  void UpdateReturnLag(const JobRecord& record);
  /// The oldest weights with which to start `work` now. The client submits a spare group again in a
  /// later job, which can resume the text only if its weights are new enough for that job.
  WeightVersion MinUsefulVersion(const Work& work, const JobRecord& record) const;
  void Enqueue(Work& work, const JobRecord& record);
  TimePoint DueAt(const JobRecord& record) const;
  /// Seconds until `record` is due; infinite if its route sets no deadline.
  double SecondsLeft(const JobRecord& record) const;
  /// Number of events expected until the text is complete; at least one.
  double RemainingEvents(const Work& work, const JobRecord& record) const;
  double RemainingEvents(const Work& work, const JobRecord& record,
                         uint64_t tokens_per_event) const;
  /// According to the configuration of the job's service; 0 if unknown.
  uint64_t TokensPerEvent(const JobRecord& record) const;
  uint64_t TokensPerEvent(const Route* route) const;
  /// Records the known text lengths of an ended job.
  void UpdateLengths(const JobRecord& record);
  /// Reuses the complete text that an earlier job recorded for the same item, if its versions are
  /// allowed, so that the item is not run again without need: the earlier result may still be read
  /// and is checked against what engines made of the item until then.
  bool ReuseRecordedText(const JobRecord& record, Work& work);
  /// Resumes from text saved for the item by this job or an earlier one.
  void UseSavedText(const JobRecord& record, Work& work);
  void CachePartialText(const JobRecord* record, Work& work);
  /// Caches the partial texts that ended jobs left in the group's log.
  void LoadPartialTexts();
  void ScheduleSave();
  /// Proposes the unsaved parts of long texts.
  void SaveLongTexts();
  std::vector<ProgressPart> CollectProgress();
  /// Makes the next save replace what the group's log holds.
  static void MarkUnsaved(Work& work);
  void MarkUnsaved(const std::vector<ProgressPart>& parts);
  void DropRecorded(const JobId& job);
  /// Jobs with equal members may run at the same engines.
  struct EngineUse {
    const Route* route = nullptr;
    ModelName model;
    /// The job allows any weights, and so any engine of the route.
    bool any_version = false;
    friend auto operator<=>(const EngineUse&, const EngineUse&) = default;  // NOLINT
  };
  /// The inputs of a forecast.
  struct ForecastInputs {
    /// Jobs that share an engine are in one pool.
    std::vector<ForecastPool> pools;
    std::vector<ForecastJob> jobs;
    /// In the order of `jobs`.
    std::vector<const JobRecord*> records;
  };
  /// Forecasts the jobs and orders the queue accordingly, if the last forecast is old enough and
  /// anything waits or may be late.
  void UpdateForecast();
  ForecastInputs CollectForecastInputs() const;
  /// Number of running items at engines of the service.
  uint32_t CountRunning(const ServiceName& service) const;
  /// Slots of the service's engines that accept work and are not ejected after failures.
  uint32_t CountAnsweringSlots(const ServiceName& service) const;
  enum class PaceKind : uint8_t {
    kExpected,  ///< includes silences
    kMeasured,
  };
  ForecastJob ForecastJobOf(const JobRecord& record, const JobWork& job,
                            PaceKind kind = PaceKind::kExpected) const;
  /// The engines that answer.
  std::vector<const BackendInstance*> EnginesFor(const EngineUse& use) const;
  /// The engines that may be assigned to a model of the route, also those that failed lately.
  std::set<InstanceId> LiveEnginesOf(const Route& route) const;
  /// Empty if the pace of none was measured. Engines of unknown pace count as the fastest.
  ForecastPool AdmissionPoolOf(const Route& route) const;
  /// The open jobs that need the engines of `use` and have no others.
  std::vector<AdmissionJob> OpenJobsAt(const EngineUse& use) const;
  AdmissionJob NewJobOf(const JobSpec& spec, const Route& route) const;
  static void MergePools(ForecastInputs& inputs, size_t from, size_t to,
                         std::map<EngineUse, size_t>& pool_of_use,
                         std::map<InstanceId, size_t>& pool_of_engine);
  void ApplyForecasts(const ForecastInputs& inputs, const std::vector<JobForecast>& forecasts);
  /// Calls `change`, which may change what RankOf returns, and orders the queues again.
  void ReorderQueues(const std::function<void()>& change);
  void ReportForecasts(const ForecastInputs& inputs, const std::vector<JobForecast>& forecasts);
  void ReportLateJob(const JobRecord& record, const JobForecast& forecast);
  void SetForecastMetrics(const std::map<std::string, double>& lateness_by_route, size_t deferred);
  void HandleChanges();
  /// Whether what is proposed is committed in time, so that the end of a job would be as well. No
  /// work is sent to back ends otherwise.
  bool CommitsInTime() const;
  void LogHeldStarts();
  void SchedulePump(Duration delay);
  /// Whether the next pass should have begun long ago: the node was suspended, or its executor
  /// busy.
  bool PassIsLate(TimePoint now) const;
  /// A run that could continue at a faster engine.
  struct MoveCandidate {
    /// The client waits for it, and it is expected to be late where it runs.
    bool delays_job = false;
    double remaining_events = 0;
    Work* work = nullptr;
    const JobRecord* record = nullptr;
    const Route* route = nullptr;
  };

  /// Reports engines to the speed tracker that stopped sending events.
  void RecordSilentEngines();
  void DispatchWaiting(EngineSnapshot& snapshot);
  /// Moves runs to faster engines with free slots, in the order of MoveCandidates.
  void MoveToFasterEngines(EngineSnapshot& snapshot);
  /// Items of `route` wait, and no engine has a free slot.
  void ReportNoFreeSlot(const Route& route);
  /// The runs with the most remaining events first. If jobs share engines by their lateness, runs
  /// that delay their job precede them, and those with time to spare are left where they are unless
  /// their texts turned out longer than expected.
  std::vector<MoveCandidate> MoveCandidates();
  /// Whether the text has reached the length that was expected before it began.
  bool IsLongerThanExpected(const Work& work, const JobRecord& record) const;
  bool Move(EngineSnapshot& snapshot, const MoveCandidate& candidate);
  /// False while the item is delayed because engines crashed while they ran it.
  bool MaySend(Work& work, const JobRecord& record);
  const RequestFingerprint& FingerprintOf(Work& work, const JobRecord& record);
  /// Reports to the guard whether the run that ended counts for or against the item.
  void ReportRunEnd(Work& work, const JobRecord& record, const BackendInstance& engine,
                    ItemRunEnd end);
  bool Dispatch(EngineSnapshot& snapshot, Work& work, const JobRecord& record, const Route& route);
  void StartRun(Work& work, const JobRecord& record, const Route& route,
                const BackendInstance& engine);
  BackendRequest RequestFor(const Work& work, const JobRecord& record, const Route& route,
                            const InstanceId& engine) const;
  /// Whether only engines with the version that made the existing text may resume it.
  static bool RequiresSameVersion(const Work& work, const Route& route);
  bool AnyEngineHolds(const Route& route, const ModelName& model, WeightVersion version) const;
  /// A run at `engine` that receives no byte for this long counts as broken.
  Duration StallTimeout(const InstanceId& engine) const;
  /// The engine that ran the latest item of the same group; empty if none.
  InstanceId SiblingEngine(const Work& work, const JobRecord& record) const;
  /// The engine for `work` if it is due in `seconds_left`; null if none may start it now. See
  /// ChooseEngine.
  const BackendInstance* PickEngine(EngineSnapshot& snapshot, Work& work, const JobRecord& record,
                                    const Route& route, double seconds_left);
  void OnRunEnd(const JobId& job, uint32_t index, ItemRunEnd end, const std::string& reason);
  void Requeue(Work& work, Duration pause);
  void DiscardProgress(Work& work);
  /// Queues the complete text for scoring, or records the result if the item needs none.
  void Score(Work& work, const JobRecord& record);
  /// Starts waiting scorings in rank order, up to the capacity of the live scorers: more would fill
  /// their queues, which requests of clients share, and be refused.
  void StartScoring();
  void SendScoring(Work& work, const JobRecord& record);
  void EndScoring(Work& work);
  /// Cancels the scoring whether it runs or waits.
  void CancelScoring(Work& work);
  /// Number of concurrent scorings: the slots of the live back ends of the route.
  uint32_t MaxScorings(const std::string& route_name) const;
  void OnScored(const JobId& job, uint32_t index, const ForwardResult& result);
  static std::string_view PhaseName(Phase phase);
  /// Logs how far the job got that its client ended, and some of the items that it lacked.
  void LogJobEnd(const JobRecord& record, const JobWork& job) const;
  void LogMissingItems(const JobRecord& record, const JobWork& job) const;
  void LogMissingItem(const JobRecord& record, const Work& work) const;
  void FailExpiredItems();
  void RecordOutcome(Work& work, ItemState state, std::string score);
  void Propose(const JobId& job, uint32_t index);
  void OnProposed(const JobId& job, uint32_t index, const absl::StatusOr<std::string>& result);
  void OnRecorded(const JobId& job, uint32_t index);
  Work* FindWork(const JobId& job, uint32_t index);
  const Route* RouteOf(const JobRecord& record) const { return RouteOf(record.spec); }
  const Route* RouteOf(const JobSpec& spec) const;
  /// Destroys the run from a timer, since one of its callbacks may be on the stack.
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
  /// This replica leads and has applied everything that earlier leaders committed.
  bool leading_ = false;
  /// Term of this leadership; saved progress and results carry it.
  Term term_;
  uint64_t next_order_ = 1;
  std::map<JobId, JobWork> jobs_;
  /// Open jobs whose end this leader has received.
  std::set<JobId> ending_;
  std::set<Rank> waiting_;
  /// Complete texts that wait for a scorer, by route name, so that a route without free scorers
  /// does not block the others.
  std::map<std::string, std::set<Rank>> scoring_waiting_;
  /// Number of running scorings by route name.
  std::map<std::string, uint32_t> scorings_;
  PartialTextCache partial_texts_;
  ItemLengths lengths_;
  /// By model: how much the minimum version rises until a client submits an item again.
  std::map<ModelName, uint64_t> versions_until_return_;
  EngineSpeedTracker speeds_;
  EnginePaceRecorder pace_recorder_;
  JobClockKeeper clock_keeper_;
  TimePoint next_moves_at_;
  TimePoint next_pump_at_;
  /// When the scheduled pass is due; none if there is none.
  std::optional<TimePoint> pump_due_at_;
  /// Ends of loads at engines with runs; none while one is in progress.
  std::map<InstanceId, std::optional<TimePoint>> load_ends_;
  /// Time of the latest pass that ran late.
  std::optional<TimePoint> resumed_at_;
  TimePoint next_forecast_at_;
  /// Until then no running item can make its job late.
  TimePoint no_lateness_before_;
  /// Routes with a value of the lateness metric.
  std::set<std::string> routes_with_lateness_;
  /// Jobs that changed since the timer last fired.
  std::set<JobId> changed_;
  bool was_restored_ = false;
  /// According to the last log entry.
  bool starts_held_ = false;
  ScopedTimer pump_timer_;
  ScopedTimer change_timer_;
  ScopedTimer save_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
