#include "http/request_memory.h"

#include <utility>

namespace millstair {
namespace {

/// Bodies up to this size may use the last quarter of the bound, also while larger ones wait.
constexpr size_t kSmallBodyBytes = 64 * 1024;
/// Requests up to this size may use the last eighth: those without a body, or with a few bytes.
constexpr size_t kSmallestBytes = 8 * 1024;
/// Fewer bytes than this are no progress: a byte from time to time would keep the memory of a body.
constexpr size_t kProgressBytes = 16 * 1024;

bool IsLarge(size_t bytes) { return bytes > kSmallBodyBytes; }

}  // namespace

RequestMemory::RequestMemory(RequestMemoryOptions options, StatsRegistry* stats)
    : options_(std::move(options)) {
  if (!options_.now) options_.now = MonotonicNow;
  if (stats == nullptr) return;
  total_gauge_ = &stats->NewGauge(
      {"millstair_http_request_bytes", "Bytes of requests held in memory or received."});
  waiting_gauge_ = &stats->NewGauge(
      {"millstair_http_requests_waiting", "Requests whose body waits for memory to be read."});
  cuts_ = &stats->NewCounter({"millstair_slow_senders_cut_total",
                              "Callers refused for lack of memory because they sent nothing."});
}

size_t RequestMemory::total() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return total_;
}

bool RequestMemory::has_waiting() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return !waiting_.empty();
}

size_t RequestMemory::LimitOf(size_t bytes) const {
  if (IsLarge(bytes)) return options_.bound / 4 * 3;
  if (bytes > kSmallestBytes) return options_.bound / 8 * 7;
  return options_.bound;
}

bool RequestMemory::Fits(ClaimKind kind, size_t held, size_t bytes) const {
  if (options_.bound == 0 || bytes <= held) return true;
  if (kind == ClaimKind::kInput) return input_ - held + bytes <= options_.bound / 8;
  // One at a time may exceed the bound; otherwise it could never be read.
  const size_t other_large = large_ - (IsLarge(held) ? held : 0);
  if (IsLarge(bytes) && other_large == 0) return true;
  return total_ - held + bytes <= LimitOf(bytes);
}

void RequestMemory::Change(ClaimKind kind, size_t held, size_t bytes) {
  if (kind == ClaimKind::kInput) {
    input_ += bytes - held;
    return;
  }
  total_ += bytes - held;
  large_ += (IsLarge(bytes) ? bytes : 0) - (IsLarge(held) ? held : 0);
  if (total_gauge_ != nullptr) total_gauge_->Set(static_cast<double>(total_));
}

void RequestMemory::GrantWaiting() {
  // Of the large ones only the first may go on: smaller ones behind it would keep it waiting.
  bool large_waits = false;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    Claim& claim = **next;
    const bool large = IsLarge(claim.bytes_);
    if ((large && large_waits) || !Fits(claim.kind_, 0, claim.bytes_)) {
      large_waits |= large;
      ++next;
      continue;
    }
    Change(claim.kind_, 0, claim.bytes_);
    claim.waits_ = false;
    claim.on_granted_();
    next = waiting_.erase(next);
  }
  if (waiting_gauge_ != nullptr) waiting_gauge_->Set(static_cast<double>(waiting_.size()));
}

void RequestMemory::CutSlowSenders(size_t bytes) {
  const TimePoint now = options_.now();
  size_t freed = 0;
  for (Claim* claim : receiving_) {
    if (freed >= bytes || now - claim->progress_at_ < options_.slow_sender) return;
    freed += claim->bytes_;
    if (std::exchange(claim->is_cut_, true)) continue;
    if (cuts_ != nullptr) cuts_->Add();
    claim->on_cut_();
  }
}

RequestMemory::Claim::Claim(std::shared_ptr<RequestMemory> memory, ClaimKind kind)
    : memory_(std::move(memory)), kind_(kind) {}

RequestMemory::Claim::~Claim() {
  if (memory_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  if (receiving_) memory_->receiving_.erase(*receiving_);
  if (waits_) {
    memory_->waiting_.remove(this);
  } else {
    memory_->Change(kind_, bytes_, 0);
  }
  memory_->GrantWaiting();
}

void RequestMemory::Claim::Request(size_t bytes, std::function<void()> granted) {
  if (memory_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  bytes_ = bytes;
  waits_ = true;
  on_granted_ = std::move(granted);
  memory_->waiting_.push_back(this);
  memory_->GrantWaiting();
  if (waits_) memory_->CutSlowSenders(bytes_);
}

bool RequestMemory::Claim::granted() const {
  if (memory_ == nullptr) return true;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  return !waits_;
}

void RequestMemory::Claim::AskForRoom() {
  if (memory_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  if (waits_) memory_->CutSlowSenders(bytes_);
}

bool RequestMemory::Claim::Resize(size_t bytes) {
  if (memory_ == nullptr) return true;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  if (!memory_->Fits(kind_, bytes_, bytes)) {
    if (kind_ == ClaimKind::kRequest) memory_->CutSlowSenders(bytes - bytes_);
    return false;
  }
  const bool shrinks = bytes < bytes_;
  memory_->Change(kind_, bytes_, bytes);
  bytes_ = bytes;
  if (shrinks) memory_->GrantWaiting();
  return true;
}

void RequestMemory::Claim::BeginReceiving(std::function<void()> cut) {
  if (memory_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  on_cut_ = std::move(cut);
  progress_at_ = memory_->options_.now();
  receiving_ = memory_->receiving_.insert(memory_->receiving_.end(), this);
}

void RequestMemory::Claim::NoteReceived(size_t bytes) {
  if (memory_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  received_ += bytes;
  if (received_ < kProgressBytes || !receiving_) return;
  received_ = 0;
  is_cut_ = false;
  progress_at_ = memory_->options_.now();
  memory_->receiving_.splice(memory_->receiving_.end(), memory_->receiving_, *receiving_);
}

void RequestMemory::Claim::EndReceiving() {
  if (memory_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  if (!receiving_) return;
  memory_->receiving_.erase(*receiving_);
  receiving_.reset();
  is_cut_ = false;
}

bool RequestMemory::Claim::is_cut() const {
  if (memory_ == nullptr) return false;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  return is_cut_;
}

}  // namespace millstair
