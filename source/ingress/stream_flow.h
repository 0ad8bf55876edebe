/// One stream of a client on its way through the system. Whole events are passed on as they come. A
/// stream that breaks goes on at another back end after its last event, where its route allows
/// that; the answer keeps the head of its first back end.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "http/exchange.h"
#include "ingress/backend_directory.h"
#include "ingress/event_stream.h"
#include "ingress/forward_flow.h"

namespace millstair {

/// Takes a stream; all calls happen on the node's serial executor.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  /// The answer begins.
  virtual void OnHead(const HttpResponseHead& head) = 0;
  /// Whole events.
  virtual void OnEvents(std::string bytes) = 0;
};

/// How a stream ended.
struct StreamEnd {
  ForwardResult forward;
  /// The head was passed on; `forward` then says how the rest ended.
  bool begun = false;
  uint64_t events = 0;
};

/// Lives on the node's serial executor. Dropping it cancels what is under way.
class StreamFlow {
 public:
  using Callback = std::function<void(StreamEnd)>;

  /// `sink` outlives the flow. `done` is called once, never by the constructor, and may destroy the
  /// flow only after it has returned.
  StreamFlow(ForwardContext& context, Route route, ForwardRequest request, StreamSink& sink,
             Callback done);
  ~StreamFlow();
  void Start();

 private:
  class Run;

  /// Asks the guard, then sends or waits.
  void SendIfAllowed();
  /// Back ends ended under the request: it is not sent (any more).
  void Withhold(Duration retry_after);
  void SendRun();
  /// SendRun, once the configuration may be gone by.
  void SendRunWhenCurrent();
  void OnHead(Run& run, const HttpResponseHead& head);
  void OnBody(Run& run, std::string bytes);
  void OnFinished(Run& run);
  void OnFailed(Run& run, BackendEnd end, const std::string& reason);
  void EndRun(BackendEnd end);
  void ResumeOrFail(const std::string& reason);
  void Finish(ForwardOutcome outcome, const std::string& reason);
  /// Passes on what is whole; false if the events do not follow one another.
  bool ForwardEvents(const std::string& bytes);

  ForwardContext& context_;
  const Route route_;
  const ForwardRequest request_;
  StreamSink& sink_;
  Callback done_;
  TimePoint started_at_;
  TimePoint deadline_;
  std::unique_ptr<Run> run_;
  std::vector<std::unique_ptr<Run>> ended_runs_;
  std::set<InstanceId> tried_;
  EventStreamSplitter splitter_;
  HttpResponseHead head_;
  std::string plain_body_;
  InstanceId last_instance_;
  bool begun_ = false;
  /// The answer is no stream: it is passed on as a whole.
  bool plain_ = false;
  uint64_t events_ = 0;
  RequestMeter meter_;
  RequestWatch watch_;
  /// The run under way follows one that was lost.
  bool after_loss_ = false;
  uint32_t may_have_run_ = 0;
  uint32_t sent_ = 0;
  std::optional<Duration> confirmation_age_at_send_;
  /// When the client may come back, if nothing ran.
  Duration retry_after_;
  ScopedTimer deadline_timer_;
  ScopedTimer retry_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
