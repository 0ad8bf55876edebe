#include "http/response_memory.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace millstair {
namespace {

/// Like HeldBytes::kSmallResponseBytes, for a response of unknown length, which may become large.
/// Less than what is read at once, since otherwise the first bytes of a few hundred such responses
/// would fill that quarter.
constexpr size_t kSmallUnsizedBytes = 8 * 1024;
/// A response of unknown length asks for memory in steps of this size.
constexpr size_t kGrowthBytes = 64 * 1024;
/// Interval of the checks while responses wait for memory; it adds to the time of such a response.
constexpr Duration kWaitingTickInterval = std::chrono::milliseconds(20);
/// Interval of the checks otherwise.
constexpr Duration kTickInterval = std::chrono::milliseconds(250);
/// A check that is late by more than this means that the process was suspended.
constexpr Duration kSuspensionGap = std::chrono::seconds(1);

/// The declared length of the body, if there is one.
std::optional<size_t> LengthOf(const HttpResponseHead& head) {
  const auto text = FindHeader(head.headers, "Content-Length");
  if (!text) return std::nullopt;
  size_t length = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), length);
  if (error != std::errc() || end != text->data() + text->size()) return std::nullopt;
  return length;
}

}  // namespace

ResponseMemory::ResponseMemory(Environment& environment, std::shared_ptr<HeldBytes> held)
    : environment_(environment),
      held_(std::move(held)),
      ticked_at_(environment.Now()),
      tick_timer_(environment) {
  if (held_->bound() > 0) ArmTick(kTickInterval);
}

void ResponseMemory::ArmTick(Duration interval) {
  tick_timer_.Arm(interval, [this] { Tick(); });
}

std::vector<ResponseBuffer*> ResponseMemory::Waiters() const {
  std::vector<ResponseBuffer*> waiters;
  for (auto one = buffers_.rbegin(); one != buffers_.rend(); ++one) {
    if ((*one)->wanted_ > 0) waiters.push_back(*one);
  }
  return waiters;
}

void ResponseMemory::OnWaiting() {
  // Armed once only, so that many new waiters don't defer the check.
  if (std::exchange(ticks_for_waiters_, true)) return;
  ArmTick(kWaitingTickInterval);
}

void ResponseMemory::OnEnded(const ResponseBuffer& buffer) {
  if (over_limit_ != &buffer) return;
  over_limit_ = nullptr;
  // The next one goes on at once, after the caller's work.
  if (ticks_for_waiters_) ArmTick(Duration(0));
}

void ResponseMemory::Tick() {
  const TimePoint now = environment_.Now();
  if (now - ticked_at_ > kTickInterval + kSuspensionGap) held_->RestartStallTimes();
  ticked_at_ = now;
  ResumeWaiting();
  CutSlowReaders();
  ticks_for_waiters_ = !Waiters().empty();
  ArmTick(ticks_for_waiters_ ? kWaitingTickInterval : kTickInterval);
}

bool ResponseMemory::IsPreceded(const ResponseBuffer& buffer) const {
  for (auto one = buffers_.rbegin(); one != buffers_.rend() && *one != &buffer; ++one) {
    if ((*one)->wanted_ > 0 && !(*one)->IsSmall((*one)->wanted_)) return true;
  }
  return false;
}

bool ResponseMemory::Fits(const ResponseBuffer& buffer, size_t bytes, size_t freed) const {
  const size_t bound = held_->bound();
  const size_t not_others = buffer.hold_->bytes() + freed;
  if (buffer.IsSmall(bytes)) {
    // A single response above the bound does not keep small ones waiting.
    size_t excess = not_others;
    for (const ResponseBuffer* other : buffers_) {
      if (other != &buffer) excess += held_->ExcessOf(other->hold_->bytes());
    }
    const size_t total = held_->CappedTotal();
    return total - std::min(total, excess) + bytes <= bound;
  }
  const size_t total = held_->total();
  const size_t others = total - std::min(total, not_others);
  if (others + bytes > held_->pressure_threshold()) return false;
  if (buffer.sized_) return true;
  // Responses of unknown length may all come to wait for each other, so together they take at most
  // a share. One at a time may take more.
  size_t unsized = bytes;
  for (const ResponseBuffer* other : buffers_) {
    if (other != &buffer && !other->sized_) unsized += other->hold_->bytes();
  }
  return unsized <= held_->share();
}

bool ResponseMemory::FitsOverLimit(const ResponseBuffer& buffer, size_t bytes, size_t freed) const {
  size_t not_counted = buffer.hold_->bytes() + freed;
  for (const ResponseBuffer* other : buffers_) {
    if (other != &buffer && other->wanted_ > 0) not_counted += other->hold_->bytes();
  }
  const size_t total = held_->total();
  const size_t counted = total - std::min(total, not_counted);
  // A larger response counts as this share: otherwise one above the bound could never be read.
  const size_t share = held_->share();
  return counted + std::min(bytes, share) <= held_->pressure_threshold() - share;
}

bool ResponseMemory::MayHold(const ResponseBuffer& buffer, size_t bytes) {
  if (held_->bound() == 0) return true;
  const bool small = buffer.IsSmall(bytes);
  // A response that is partly read is not held up by others that wait.
  const bool held_up = !small && !buffer.granted_ && IsPreceded(buffer);
  if (held_up) return false;
  if (Fits(buffer, bytes, 0)) return true;
  const bool available = over_limit_ == nullptr || over_limit_ == &buffer;
  if (small || !available || !FitsOverLimit(buffer, bytes, 0)) return false;
  over_limit_ = &buffer;
  return true;
}

void ResponseMemory::ResumeWaiting() {
  for (ResponseBuffer* buffer : Waiters()) {
    if (!MayHold(*buffer, buffer->wanted_)) continue;
    buffer->Count(buffer->wanted_);
    buffer->Resume();
  }
}

void ResponseMemory::CutSlowReaders() {
  const std::vector<ResponseBuffer*> waiters = Waiters();
  // Cuts as few readers as necessary, so that others have time to read.
  size_t being_cut = held_->BytesBeingCut();
  const auto is_enough = [&] {
    if (waiters.empty()) return held_->total() < held_->bound() + being_cut;
    // The one over the limit goes first: others may be able to go on only after its end.
    const bool over_limit_waits = over_limit_ != nullptr && over_limit_->wanted_ > 0;
    const ResponseBuffer& next = over_limit_waits ? *over_limit_ : *waiters.front();
    if (Fits(next, next.wanted_, being_cut)) return true;
    return !next.IsSmall(next.wanted_) && FitsOverLimit(next, next.wanted_, being_cut);
  };
  while (!is_enough()) {
    const size_t bytes = held_->CutSlowestReader();
    if (bytes == 0) return;
    being_cut += bytes;
  }
}

ResponseBuffer::ResponseBuffer(ResponseMemory* memory, Environment& environment,
                               TimePoint requested_at)
    : memory_(memory), environment_(environment), requested_at_(requested_at) {}

ResponseBuffer::~ResponseBuffer() { End(); }

void ResponseBuffer::Begin(const HttpResponseHead& head, CallHandle* call, size_t max_bytes) {
  const std::optional<size_t> length = LengthOf(head);
  if (memory_ == nullptr) return;
  sized_ = length.has_value();
  call_ = call;
  hold_.emplace(memory_->held());
  auto next = memory_->buffers_.end();
  while (next != memory_->buffers_.begin() && (*std::prev(next))->requested_at_ > requested_at_) {
    --next;
  }
  position_ = memory_->buffers_.insert(next, this);
  if (length.value_or(0) > 0) Hold(0, std::min(*length, max_bytes));
}

void ResponseBuffer::Append(const std::string& bytes) {
  if (hold_) body_.reserve(hold_->bytes());
  body_ += bytes;
  if (!hold_ || body_.size() <= hold_->bytes()) return;
  const size_t needed = IsSmall(body_.size()) ? body_.size() : body_.size() + kGrowthBytes;
  Hold(body_.size(), std::max(needed, wanted_));
}

void ResponseBuffer::Hold(size_t bytes, size_t wanted) {
  if (memory_->MayHold(*this, wanted)) {
    Count(wanted);
    return Resume();
  }
  // What has arrived is counted even if it doesn't fit.
  Count(bytes);
  wanted_ = std::max(wanted, bytes);
  memory_->OnWaiting();
  if (call_ == nullptr || paused()) return;
  paused_since_ = environment_.Now();
  call_->PauseReading();
}

bool ResponseBuffer::IsSmall(size_t bytes) const {
  return bytes <= (sized_ ? HeldBytes::kSmallResponseBytes : kSmallUnsizedBytes);
}

void ResponseBuffer::Count(size_t bytes) { hold_->Set(std::max(hold_->bytes(), bytes)); }

void ResponseBuffer::Resume() {
  granted_ = true;
  wanted_ = 0;
  paused_time_ = PausedTime();
  if (!paused()) return;
  paused_since_.reset();
  call_->ResumeReading();
}

Duration ResponseBuffer::PausedTime() const {
  if (!paused()) return paused_time_;
  return paused_time_ + (environment_.Now() - *paused_since_);
}

std::string ResponseBuffer::Take() {
  End();
  return std::move(body_);
}

void ResponseBuffer::End() {
  paused_time_ = PausedTime();
  paused_since_.reset();
  call_ = nullptr;
  wanted_ = 0;
  if (!position_) return;
  memory_->OnEnded(*this);
  memory_->buffers_.erase(*position_);
  position_.reset();
  hold_.reset();
}

}  // namespace millstair
