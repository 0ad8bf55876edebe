/// Decides by the bytes held in memory when responses are read from back ends, and which callers
/// are disconnected when memory is short.
///
/// A response that is buffered whole is read only while its bytes fit: large ones up to three
/// quarters of the bound, so that the last quarter serves small responses while others wait. A
/// response whose length is known reserves its memory before it is read, so that responses in
/// progress can't fill the memory without any of them becoming complete. Those of unknown length
/// share a quarter of the bound, and one at a time may go on beyond it.
///
/// Among responses that wait, that of the newest request goes first. Callers that do not read keep
/// their memory until they are cut, so in the order of arrival each of them would delay all later
/// callers by that time.
///
/// Lives on the node's serial executor; owns no sockets.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "http/exchange.h"
#include "http/held_bytes.h"

namespace millstair {

class ResponseBuffer;

class ResponseMemory {
 public:
  /// `held` is not null.
  ResponseMemory(Environment& environment, std::shared_ptr<HeldBytes> held);

  const std::shared_ptr<HeldBytes>& held() const { return held_; }

 private:
  friend class ResponseBuffer;

  /// Whether `buffer` may grow to `bytes`, possibly as the one response over the limit.
  bool MayHold(const ResponseBuffer& buffer, size_t bytes);
  /// The responses that wait for memory, in the order in which they get it.
  std::vector<ResponseBuffer*> Waiters() const;
  /// Whether a large response waits for memory that is newer than `buffer`.
  bool IsPreceded(const ResponseBuffer& buffer) const;
  /// Whether `buffer` may grow to `bytes` within the limits, once `freed` bytes are free.
  bool Fits(const ResponseBuffer& buffer, size_t bytes, size_t freed) const;
  /// Whether it may grow to `bytes` as the one response over the limit. What others hold that wait
  /// themselves is not counted.
  bool FitsOverLimit(const ResponseBuffer& buffer, size_t bytes, size_t freed) const;
  /// Called when a response starts to wait for memory.
  void OnWaiting();
  void OnEnded(const ResponseBuffer& buffer);
  void Tick();
  void ArmTick(Duration interval);
  void CutSlowReaders();
  void ResumeWaiting();

  Environment& environment_;
  const std::shared_ptr<HeldBytes> held_;
  /// Responses in progress, those of the oldest requests first.
  std::list<ResponseBuffer*> buffers_;
  /// The response that may exceed the limit because only others that wait are in its way.
  const ResponseBuffer* over_limit_ = nullptr;
  bool ticks_for_waiters_ = false;
  TimePoint ticked_at_;
  ScopedTimer tick_timer_;
};

/// The body of one response that is buffered whole. Pauses its call while memory is short.
class ResponseBuffer {
 public:
  /// `memory` outlives the buffer; if null, nothing is counted or paused. `requested_at` is when
  /// the caller's request arrived: a later attempt at it is as old as the first.
  ResponseBuffer(ResponseMemory* memory, Environment& environment, TimePoint requested_at);
  ~ResponseBuffer();
  ResponseBuffer(const ResponseBuffer&) = delete;
  ResponseBuffer& operator=(const ResponseBuffer&) = delete;

  /// Begins the response `head` of `call`, which outlives the buffer or its `End` and whose
  /// `ResumeReading` calls no observer before it returns. `max_bytes` is
  /// the limit on the size of the body, which the caller of Append enforces.
  void Begin(const HttpResponseHead& head, CallHandle* call, size_t max_bytes);
  void Append(const std::string& bytes);
  size_t size() const { return body_.size(); }
  /// Ends the buffering and returns the body.
  std::string Take();
  /// Ends the buffering; the call is not used any more.
  void End();

  /// Whether the call is paused for lack of memory.
  bool paused() const { return paused_since_.has_value(); }
  /// How long the call has been paused in all.
  Duration PausedTime() const;

 private:
  friend class ResponseMemory;

  /// Counts `bytes`, and pauses the call if they don't fit.
  void Hold(size_t bytes, size_t wanted);
  void Count(size_t bytes);
  void Resume();
  /// Whether a body of `bytes` may use the memory that is kept for small ones.
  bool IsSmall(size_t bytes) const;

  ResponseMemory* const memory_;
  Environment& environment_;
  const TimePoint requested_at_;
  std::optional<HeldBytes::Hold> hold_;
  std::optional<std::list<ResponseBuffer*>::iterator> position_;
  CallHandle* call_ = nullptr;
  std::string body_;
  /// The response declares its length.
  bool sized_ = false;
  /// Memory was granted before, so that the response is partly read.
  bool granted_ = false;
  /// What the buffer asked for and does not hold yet; 0 if it doesn't wait.
  size_t wanted_ = 0;
  std::optional<TimePoint> paused_since_;
  Duration paused_time_{0};
};

}  // namespace millstair
