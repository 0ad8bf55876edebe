#include "http/response_memory.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace millstair {
namespace {

/// Responses up to this size may use the last quarter of the bound.
constexpr size_t kSmallResponseBytes = 64 * 1024;
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

const ResponseBuffer* ResponseMemory::OldestWaiter() const {
  const auto found = std::find_if(buffers_.begin(), buffers_.end(),
                                  [](const ResponseBuffer* one) { return one->wanted_ > 0; });
  return found == buffers_.end() ? nullptr : *found;
}

void ResponseMemory::OnWaiting() {
  // Armed once only, so that many new waiters don't defer the check.
  if (std::exchange(ticks_for_waiters_, true)) return;
  ArmTick(kWaitingTickInterval);
}

void ResponseMemory::OnEnded(const ResponseBuffer& buffer) {
  if (over_limit_ == &buffer) over_limit_ = nullptr;
}

void ResponseMemory::Tick() {
  const TimePoint now = environment_.Now();
  if (now - ticked_at_ > kTickInterval + kSuspensionGap) held_->RestartStallTimes();
  ticked_at_ = now;
  ResumeWaiting();
  CutSlowReaders();
  ticks_for_waiters_ = OldestWaiter() != nullptr;
  ArmTick(ticks_for_waiters_ ? kWaitingTickInterval : kTickInterval);
}

bool ResponseMemory::HasOlderWaiter(const ResponseBuffer& buffer) const {
  for (const ResponseBuffer* other : buffers_) {
    if (other == &buffer) return false;
    if (other->wanted_ > kSmallResponseBytes) return true;
  }
  return false;
}

bool ResponseMemory::MayHold(const ResponseBuffer& buffer, size_t bytes) {
  if (held_->bound() == 0) return true;
  const size_t total = held_->total();
  const size_t others = total - std::min(total, buffer.hold_->bytes());
  if (bytes <= kSmallResponseBytes) return others + bytes <= held_->bound();
  if (HasOlderWaiter(buffer)) return false;
  const size_t limit = held_->pressure_threshold();
  if (others + bytes <= limit) return true;
  if (over_limit_ != nullptr && over_limit_ != &buffer) return false;
  // A response above half of the bound counts as half of it: otherwise one above the bound could
  // never be read. It still needs most of the memory to be free.
  const size_t not_in_progress = total - std::min(total, in_progress_bytes_);
  if (not_in_progress + std::min(bytes, held_->bound() / 2) > limit) return false;
  over_limit_ = &buffer;
  return true;
}

void ResponseMemory::ResumeWaiting() {
  for (ResponseBuffer* buffer : buffers_) {
    if (buffer->wanted_ == 0 || !MayHold(*buffer, buffer->wanted_)) continue;
    buffer->Count(buffer->wanted_);
    buffer->Resume();
  }
}

void ResponseMemory::CutSlowReaders() {
  const ResponseBuffer* waiter = OldestWaiter();
  if (waiter == nullptr && !held_->AtBound()) return;
  const bool large = waiter != nullptr && waiter->wanted_ > kSmallResponseBytes;
  const size_t limit = large ? held_->pressure_threshold() : held_->bound();
  // Without a waiter, the total has to fall below the bound.
  size_t missing = 1;
  if (waiter != nullptr) {
    missing = std::min(waiter->wanted_, held_->bound() / 2);
    missing -= std::min(missing, waiter->hold_->bytes());
  }
  // Cuts as few readers as necessary, so that others have time to read.
  size_t being_cut = held_->BytesBeingCut();
  while (held_->total() + missing > limit + being_cut) {
    const size_t bytes = held_->CutSlowestReader();
    if (bytes == 0) return;
    being_cut += bytes;
  }
}

ResponseBuffer::ResponseBuffer(ResponseMemory* memory, Environment& environment)
    : memory_(memory), environment_(environment) {}

ResponseBuffer::~ResponseBuffer() { End(); }

void ResponseBuffer::Begin(const HttpResponseHead& head, CallHandle* call, size_t max_bytes) {
  const std::optional<size_t> length = LengthOf(head);
  if (memory_ == nullptr) return;
  call_ = call;
  hold_.emplace(memory_->held());
  position_ = memory_->buffers_.insert(memory_->buffers_.end(), this);
  if (length) Hold(0, std::min(*length, max_bytes));
}

void ResponseBuffer::Append(const std::string& bytes) {
  if (hold_) body_.reserve(hold_->bytes());
  body_ += bytes;
  if (!hold_ || body_.size() <= hold_->bytes()) return;
  const size_t needed =
      body_.size() <= kSmallResponseBytes ? body_.size() : body_.size() + kGrowthBytes;
  Hold(body_.size(), std::max(needed, wanted_));
}

void ResponseBuffer::Hold(size_t bytes, size_t wanted) {
  if (memory_->MayHold(*this, wanted)) return Count(wanted);
  // What has arrived is counted even if it doesn't fit.
  Count(bytes);
  wanted_ = std::max(wanted, bytes);
  memory_->OnWaiting();
  if (call_ == nullptr || paused()) return;
  paused_since_ = environment_.Now();
  call_->PauseReading();
}

void ResponseBuffer::Count(size_t bytes) {
  const size_t before = hold_->bytes();
  hold_->Set(std::max(before, bytes));
  memory_->in_progress_bytes_ += hold_->bytes() - before;
}

void ResponseBuffer::Resume() {
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
  memory_->in_progress_bytes_ -= hold_->bytes();
  hold_.reset();
}

}  // namespace millstair
