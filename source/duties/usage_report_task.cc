#include "duties/usage_report_task.h"

#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// How often the leader checks for windows to close or to send.
constexpr Duration kTick = std::chrono::milliseconds(250);
/// From the end of a window until its sum is fixed: covers a request's time limit, the reporting
/// interval, and a commit that is delayed by an election.
constexpr Duration kLateReportPeriod = std::chrono::milliseconds(3500);
/// Longer than the response time of a slow platform.
constexpr Duration kCallTimeout = std::chrono::seconds(2);
/// Delay before a failed call is repeated; bounded by the platform's limit on calls.
constexpr Duration kRetryPause = std::chrono::milliseconds(500);
/// Delay after a call that the platform refuses, and is unlikely to accept soon.
constexpr Duration kRefusedPause = std::chrono::seconds(5);
/// One subject for all windows, because calls of two holders must not alternate.
constexpr char kSubject[] = "usage";

class ControlNodeUsageReportHost : public ControlNodeHost<UsageReportHost> {
 public:
  using ControlNodeHost::ControlNodeHost;

  const UsageLedger& ledger() const override { return control_.usage(); }
  std::optional<WallTime> AgreedTime() const override { return control_.AgreedTime(); }
};

class ControlNodeUsageReportTask : public LeaderTask {
 public:
  ControlNodeUsageReportTask(Environment& environment, HttpCaller& http,
                             const UsageReportProtocol& protocol, ControlNode& control,
                             UsageReportOptions options)
      : host_(control), task_(environment, http, protocol, host_, std::move(options)) {
    control.OnLeaseAnnounced(
        [this](const LeaseAnnouncement& announcement) { task_.OnAnnouncement(announcement); });
  }

  void Run(const Configuration&) override { task_.Run(); }
  void Observe(const NodeId&, const EngineObservation&) override {}

 private:
  ControlNodeUsageReportHost host_;
  UsageReportTask task_;
};

}  // namespace

std::string_view UsageReportAnswerName(UsageReportAnswer answer) {
  switch (answer) {
    case UsageReportAnswer::kTaken:
      return "taken";
    case UsageReportAnswer::kBusy:
      return "busy";
    case UsageReportAnswer::kRefused:
      return "refused";
    case UsageReportAnswer::kUnknown:
      break;
  }
  return "unknown";
}

UsageReportTask::UsageReportTask(Environment& environment, HttpCaller& http,
                                 const UsageReportProtocol& protocol, UsageReportHost& host,
                                 UsageReportOptions options)
    : environment_(environment),
      http_(http),
      protocol_(protocol),
      host_(host),
      options_(std::move(options)),
      leases_(environment, options_.self, options_.task_lease + kLeaseMargin),
      tick_timer_(environment) {}

void UsageReportTask::OnAnnouncement(const LeaseAnnouncement& announcement) {
  if (announcement.subject == kSubject) leases_.OnAnnouncement(announcement);
}

void UsageReportTask::Run() {
  if (!tick_timer_.armed()) Tick();
}

void UsageReportTask::Tick() {
  const auto term = host_.LeadingTerm();
  if (!term) return BeginTerm(Term());
  if (*term != term_) BeginTerm(*term);
  tick_timer_.Arm(kTick, [this] { Tick(); });
  if (!caught_up_) return;
  CloseWindows();
  SendOldest();
}

void UsageReportTask::BeginTerm(Term term) {
  term_ = term;
  call_.reset();
  closing_ = false;
  sending_ = false;
  next_call_at_ = environment_.Now();
  caught_up_ = false;
  if (term != Term()) CatchUp();
}

void UsageReportTask::CatchUp() {
  host_.CatchUp(alive_.Guard([this, term = term_](bool caught_up) {
    if (term != term_) return;
    caught_up_ = caught_up;
    if (!caught_up)
      environment_.Schedule(kRetryPause, alive_.Guard([this, term] {
        if (term == term_) CatchUp();
      }));
  }));
}

void UsageReportTask::CloseWindows() {
  const auto now = host_.AgreedTime();
  const auto first_open = host_.ledger().FirstOpen();
  if (!now || closing_ || !first_open) return;
  const Duration since_epoch = Duration(now->time_since_epoch()) - kLateReportPeriod;
  const auto begun = static_cast<uint64_t>(since_epoch / options_.window);
  const UsageWindow through(begun - 1);
  if (through < *first_open) return;
  closing_ = true;
  LogEvent(EventId::kUsageWindowsClosed, "through={} time={} term={}", through,
           now->time_since_epoch().count(), term_);
  host_.Propose(CloseUsage{through}, alive_.Guard([this, term = term_](bool) {
    if (term != term_) return;
    closing_ = false;
    SendOldest();
  }));
}

void UsageReportTask::SendOldest() {
  if (sending_ || environment_.Now() < next_call_at_ || !leases_.MayOperateOn(kSubject, term_))
    return;
  const auto window = host_.ledger().OldestUnreported();
  if (window) Announce(*window);
}

void UsageReportTask::Announce(UsageWindow window) {
  sending_ = true;
  const TimePoint now = environment_.Now();
  const AnnounceTaskLease announce{{options_.self, kSubject, term_, now.time_since_epoch()}};
  host_.Propose(announce, alive_.Guard([this, window, now, term = term_](bool committed) {
    if (term != term_) return;
    if (!committed) return FinishCall(kRetryPause);
    Send(window, now);
  }));
}

void UsageReportTask::Send(UsageWindow window, TimePoint announced_at) {
  // By now every earlier announcement is applied here.
  const TimePoint now = environment_.Now();
  const bool in_time = leases_.MayStillOperateOn(kSubject, term_, announced_at);
  const auto counts = host_.ledger().windows().find(window);
  if (!in_time || host_.LeadingTerm() != term_ || counts == host_.ledger().windows().end()) {
    LogEvent(EventId::kDutyWithheld, "subject={} window={} term={} announced_ms={}", kSubject,
             window, term_, (now - announced_at).count() / 1000);
    return FinishCall(kRetryPause);
  }
  const UsageStatement statement{window, counts->second};
  LogEvent(EventId::kUsageSent, "window={} tenants={} fence={}", window, statement.counts.size(),
           term_);
  call_ = std::make_unique<BoundedCall>(
      environment_, kCallTimeout,
      alive_.Guard([this, window, term = term_](int status, const std::string&) {
        if (term == term_) HandleAnswer(window, protocol_.ReadAnswer(status));
      }));
  call_->Start(http_, options_.platform,
               protocol_.MakeUsageCall(statement, {options_.machine, term_.value()}));
}

void UsageReportTask::HandleAnswer(UsageWindow window, UsageReportAnswer answer) {
  call_.reset();
  LogEvent(EventId::kUsageAnswered, "window={} answer={} fence={}", window,
           UsageReportAnswerName(answer), term_);
  if (answer == UsageReportAnswer::kRefused) return FinishCall(kRefusedPause);
  if (answer != UsageReportAnswer::kTaken) return FinishCall(kRetryPause);
  host_.Propose(AcceptUsage{window}, alive_.Guard([this, term = term_](bool committed) {
    if (term != term_) return;
    // After an unknown outcome the call is repeated, which the platform treats as a duplicate.
    FinishCall(committed ? Duration(0) : kRetryPause);
    SendOldest();
  }));
}

void UsageReportTask::FinishCall(Duration pause) {
  sending_ = false;
  next_call_at_ = environment_.Now() + pause;
}

std::unique_ptr<LeaderTask> MakeUsageReportTask(Environment& environment, HttpCaller& http,
                                                const UsageReportProtocol& protocol,
                                                ControlNode& control, UsageReportOptions options) {
  return std::make_unique<ControlNodeUsageReportTask>(environment, http, protocol, control,
                                                      std::move(options));
}

}  // namespace millstair
