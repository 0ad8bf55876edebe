/// Forwards one streaming client request. Complete events are passed on as they arrive. Where the
/// route allows it, an interrupted stream is resumed at another back end after its last event; the
/// response keeps the head of the first back end.
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

/// Receives a stream; all calls happen on the node's serial executor.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  virtual void OnHead(const HttpResponseHead& head) = 0;
  /// `bytes` holds one or more complete events.
  virtual void OnEvents(std::string bytes) = 0;
};

struct StreamEnd {
  ForwardResult forward;
  /// The head was passed on; `forward` states how the rest ended.
  bool begun = false;
  uint64_t events = 0;
};

/// Lives on the node's serial executor. Destroying it cancels the run in progress.
class StreamFlow : private AdmittedFlow {
 public:
  using Callback = std::function<void(StreamEnd)>;

  /// `sink` outlives the flow. `done` is called once, never from the constructor, and may destroy
  /// the flow only after it has returned.
  StreamFlow(ForwardContext& context, Route route, ForwardRequest request, StreamSink& sink,
             Callback done);
  ~StreamFlow() override;
  void Start();
  /// Backpressure: stops reading from the back end, or lets it go on. Also applies to the back ends
  /// that the stream is resumed at. Events that were read before still reach the sink.
  void SetPaused(bool paused);
  /// The runs so far, for the log; the other fields are unset.
  ForwardResult Progress() const;

 private:
  class Run;

  /// Consults the request guard, then sends the request, waits or fails it.
  void SendIfAllowed() override;
  void SendAdmitted(BackendInstance target) override;
  /// Ends a request that the guard doesn't allow to be sent.
  void Withhold(Duration retry_after);
  void SendRun();
  void SendTo(BackendInstance target);
  void GiveUp(Duration retry_after, std::string reason) override;
  /// Calls SendRun once the configuration is current.
  void SendRunWhenCurrent();
  /// Whether the response is buffered as a plain one.
  bool OnHead(Run& run, const HttpResponseHead& head);
  void OnEvents(Run& run, const std::string& bytes);
  void OnFinished(Run& run);
  void OnFailed(Run& run, BackendEnd end, const std::string& reason);
  void EndRun(BackendEnd end);
  void ResumeOrFail(bool reached, const std::string& reason);
  void Finish(ForwardOutcome outcome, const std::string& reason);
  /// Passes on the complete events; false if an event is malformed or out of order.
  bool ForwardEvents(const std::string& bytes);

  ForwardContext& context_;
  const Route route_;
  const ForwardRequest request_;
  HeldBytes::Hold partial_event_hold_;
  StreamSink& sink_;
  Callback done_;
  TimePoint started_at_;
  TimePoint deadline_;
  std::unique_ptr<Run> run_;
  std::vector<std::unique_ptr<Run>> ended_runs_;
  SendProgress sends_;
  EventStreamSplitter splitter_;
  HttpResponseHead head_;
  std::string plain_body_;
  InstanceId last_instance_;
  bool begun_ = false;
  /// The response is not an event stream: it is buffered and passed on at the end.
  bool plain_ = false;
  bool paused_ = false;
  uint64_t events_ = 0;
  RequestMeter meter_;
  RequestWatch watch_;
  RequestAdmission admission_;
  SendPauses pauses_;
  /// The current run follows one that was lost.
  bool after_loss_ = false;
  uint32_t may_have_run_ = 0;
  std::optional<Duration> confirmation_age_at_send_;
  /// When the client may retry, if nothing ran.
  Duration retry_after_;
  ScopedTimer deadline_timer_;
  ScopedTimer retry_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
