/// Sends the platform the sum of each window of usage, once the window is over and the gateways'
/// late reports are in.
///
/// The leader of the cluster group runs the task, with its term as the fencing token. It commits
/// the sum of a window before it first sends it, so that a resend by any leader carries the same
/// sum. Before each call it commits a lease announcement; it makes the call soon after or not at
/// all, and a new leader makes none until the lease last announced by another node has expired.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cluster/control_node.h"
#include "cluster/task_leases.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "duties/leader_task_host.h"
#include "duties/usage_report_protocol.h"
#include "http/bounded_call.h"

namespace millstair {

/// Interface to the control node that runs the task; outlives it.
class UsageReportHost : public LeaderTaskHost {
 public:
  virtual const UsageLedger& ledger() const = 0;
  virtual std::optional<WallTime> AgreedTime() const = 0;
};

struct UsageReportOptions {
  NodeId self;
  /// Name of this node's machine.
  std::string machine;
  /// "ip:port" of the platform.
  std::string platform;
  Duration window{0};
  /// No call within this time of a call by another holder.
  Duration task_lease = std::chrono::seconds(3);
};

/// Lives on the node's serial executor.
class UsageReportTask {
 public:
  UsageReportTask(Environment& environment, HttpCaller& http, const UsageReportProtocol& protocol,
                  UsageReportHost& host, UsageReportOptions options);

  /// A lease announcement of any task was applied here, in the order of the log.
  void OnAnnouncement(const LeaseAnnouncement& announcement);
  /// Called about once a second while the node leads, and when it becomes leader.
  void Run();

 private:
  void Tick();
  /// Drops operations of an earlier term.
  void BeginTerm(Term term);
  void CatchUp();
  void CloseWindows();
  void SendOldest();
  void Announce(UsageWindow window);
  void Send(UsageWindow window, TimePoint announced_at);
  void HandleAnswer(UsageWindow window, UsageReportAnswer answer);
  /// Ends the current call; the next one is made after `pause`.
  void FinishCall(Duration pause);

  Environment& environment_;
  HttpCaller& http_;
  const UsageReportProtocol& protocol_;
  UsageReportHost& host_;
  const UsageReportOptions options_;
  TaskLeases leases_;
  Term term_;
  /// Everything that earlier leaders committed is applied here, including their announcements.
  bool caught_up_ = false;
  /// A proposal that closes windows is in progress.
  bool closing_ = false;
  /// An announcement, a call or the commit of its result is in progress.
  bool sending_ = false;
  TimePoint next_call_at_;
  std::unique_ptr<BoundedCall> call_;
  ScopedTimer tick_timer_;
  AliveFlag alive_;
};

/// Creates the task on `control`, which outlives it.
std::unique_ptr<LeaderTask> MakeUsageReportTask(Environment& environment, HttpCaller& http,
                                                const UsageReportProtocol& protocol,
                                                ControlNode& control, UsageReportOptions options);

}  // namespace millstair
