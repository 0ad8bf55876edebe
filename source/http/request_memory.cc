#include "http/request_memory.h"

#include <utility>

namespace millstair {
namespace {

/// Bodies up to this size may use the last quarter of the bound, also while larger ones wait.
constexpr size_t kSmallBodyBytes = 64 * 1024;

bool IsLarge(size_t bytes) { return bytes > kSmallBodyBytes; }

}  // namespace

RequestMemory::RequestMemory(size_t bound, StatsRegistry* stats) : bound_(bound) {
  if (stats == nullptr) return;
  total_gauge_ = &stats->NewGauge(
      {"millstair_http_request_bytes", "Bytes of request bodies held in memory or received."});
  waiting_gauge_ = &stats->NewGauge(
      {"millstair_http_requests_waiting", "Requests whose body waits for memory to be read."});
}

size_t RequestMemory::total() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return total_;
}

bool RequestMemory::has_waiting() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return !waiting_.empty();
}

bool RequestMemory::Fits(size_t bytes) const {
  if (bound_ == 0) return true;
  if (!IsLarge(bytes)) return total_ + bytes <= bound_;
  // One at a time may exceed the bound; otherwise it could never be read.
  return large_ == 0 || total_ + bytes <= bound_ / 4 * 3;
}

void RequestMemory::Add(size_t bytes) {
  total_ += bytes;
  if (IsLarge(bytes)) large_ += bytes;
  if (total_gauge_ != nullptr) total_gauge_->Set(static_cast<double>(total_));
}

void RequestMemory::Subtract(size_t bytes) {
  total_ -= bytes;
  if (IsLarge(bytes)) large_ -= bytes;
  if (total_gauge_ != nullptr) total_gauge_->Set(static_cast<double>(total_));
}

void RequestMemory::GrantWaiting() {
  // Of the large ones only the first may go on: smaller ones behind it would keep it waiting.
  bool large_waits = false;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    Claim& claim = **next;
    const bool large = IsLarge(claim.bytes_);
    if ((large && large_waits) || !Fits(claim.bytes_)) {
      large_waits |= large;
      ++next;
      continue;
    }
    Add(claim.bytes_);
    claim.granted_ = true;
    claim.on_granted_();
    next = waiting_.erase(next);
  }
  if (waiting_gauge_ != nullptr) waiting_gauge_->Set(static_cast<double>(waiting_.size()));
}

RequestMemory::Claim::Claim(std::shared_ptr<RequestMemory> memory) : memory_(std::move(memory)) {}

RequestMemory::Claim::~Claim() {
  if (memory_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  if (granted_) {
    memory_->Subtract(bytes_);
  } else {
    memory_->waiting_.remove(this);
  }
  memory_->GrantWaiting();
}

void RequestMemory::Claim::Request(size_t bytes, std::function<void()> granted) {
  if (memory_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  bytes_ = bytes;
  on_granted_ = std::move(granted);
  memory_->waiting_.push_back(this);
  memory_->GrantWaiting();
}

bool RequestMemory::Claim::granted() const {
  if (memory_ == nullptr) return true;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  return granted_;
}

bool RequestMemory::Claim::Grow(size_t bytes) {
  if (memory_ == nullptr) return true;
  const std::lock_guard<std::mutex> lock(memory_->mutex_);
  memory_->Subtract(bytes_);
  const bool fits = memory_->Fits(bytes_ + bytes);
  if (fits) bytes_ += bytes;
  memory_->Add(bytes_);
  return fits;
}

}  // namespace millstair
