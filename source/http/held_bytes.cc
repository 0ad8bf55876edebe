#include "http/held_bytes.h"

#include <algorithm>
#include <utility>

namespace millstair {
namespace {

/// Acknowledgements and errors, which say what has happened, are always sent.
constexpr size_t kSmallestResponseBytes = 1024;

}  // namespace

HeldBytes::HeldBytes(HeldBytesOptions options, StatsRegistry* stats)
    : options_(std::move(options)) {
  if (!options_.now) options_.now = MonotonicNow;
  stalls_count_from_ = options_.now();
  if (stats == nullptr) return;
  total_gauge_ = &stats->NewGauge(
      {"millstair_http_held_bytes", "Bytes of requests and responses held in memory."});
  cuts_ =
      &stats->NewCounter({"millstair_slow_readers_cut_total",
                          "Callers disconnected for lack of memory because they read nothing."});
}

void HeldBytes::Add(size_t bytes) {
  const size_t total = total_.fetch_add(bytes, std::memory_order_relaxed) + bytes;
  if (total_gauge_ != nullptr) total_gauge_->Set(static_cast<double>(total));
}

void HeldBytes::Subtract(size_t bytes) {
  const size_t total = total_.fetch_sub(bytes, std::memory_order_relaxed) - bytes;
  if (total_gauge_ != nullptr) total_gauge_->Set(static_cast<double>(total));
}

void HeldBytes::SetBytes(Entry& entry, size_t bytes) {
  // The sum is the larger of both at any moment that another thread may see.
  if (bytes > entry.bytes) {
    Add(bytes - entry.bytes);
    excess_.fetch_add(ExcessOf(bytes) - ExcessOf(entry.bytes), std::memory_order_relaxed);
  } else {
    excess_.fetch_sub(ExcessOf(entry.bytes) - ExcessOf(bytes), std::memory_order_relaxed);
    Subtract(entry.bytes - bytes);
  }
  entry.bytes = bytes;
}

size_t HeldBytes::CappedTotal() const {
  const size_t total = total_.load(std::memory_order_relaxed);
  return total - std::min(total, excess_.load(std::memory_order_relaxed));
}

Duration HeldBytes::StallOf(const Entry& entry, TimePoint now) const {
  return std::max(now - std::max(entry.progress_at, stalls_count_from_), Duration(0));
}

bool HeldBytes::HasRoomFor(size_t bytes) {
  if (bound() == 0 || bytes <= kSmallestResponseBytes) return true;
  const bool small = bytes <= kSmallResponseBytes;
  const size_t held = small ? CappedTotal() : total();
  const size_t limit = small ? bound() : pressure_threshold();
  // One at a time may exceed the limit; otherwise it could never be sent.
  if (held + bytes <= limit || total() == 0) return true;
  size_t being_cut = BytesBeingCut();
  while (held + bytes > limit + being_cut) {
    const size_t cut = CutSlowestReader();
    if (cut == 0) break;
    being_cut += cut;
  }
  return false;
}

size_t HeldBytes::CutSlowestReader() {
  std::function<void()> cut;
  size_t bytes = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const TimePoint now = options_.now();
    Entry* slowest = nullptr;
    for (auto& [number, entry] : readers_) {
      if (entry.bytes == 0 || entry.being_cut) continue;
      if (StallOf(entry, now) < options_.slow_reader) continue;
      if (slowest == nullptr || entry.progress_at < slowest->progress_at) slowest = &entry;
    }
    if (slowest == nullptr) return 0;
    slowest->being_cut = true;
    bytes = slowest->bytes;
    cut = slowest->cut;
  }
  cut();
  return bytes;
}

size_t HeldBytes::BytesBeingCut() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  size_t bytes = 0;
  for (const auto& [number, entry] : readers_) bytes += entry.being_cut ? entry.bytes : 0;
  return bytes;
}

void HeldBytes::RestartStallTimes() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stalls_count_from_ = options_.now();
}

HeldBytes::Hold::Hold(std::shared_ptr<HeldBytes> held, size_t bytes) : held_(std::move(held)) {
  Set(bytes);
}

HeldBytes::Hold::~Hold() { Set(0); }

void HeldBytes::Hold::Set(size_t bytes) {
  if (held_ == nullptr || bytes == bytes_) return;
  if (bytes > bytes_) {
    held_->Add(bytes - bytes_);
  } else {
    held_->Subtract(bytes_ - bytes);
  }
  bytes_ = bytes;
}

HeldBytes::Reader::Reader(std::shared_ptr<HeldBytes> held, std::string request,
                          std::function<void()> cut)
    : held_(std::move(held)) {
  if (held_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(held_->mutex_);
  number_ = ++held_->last_reader_;
  Entry& entry = held_->readers_[number_];
  entry.progress_at = held_->options_.now();
  entry.request = std::move(request);
  entry.cut = std::move(cut);
}

HeldBytes::Reader::~Reader() {
  if (held_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(held_->mutex_);
  const auto ended = held_->readers_.find(number_);
  held_->SetBytes(ended->second, 0);
  held_->readers_.erase(ended);
}

void HeldBytes::Reader::Add(size_t bytes) {
  if (held_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(held_->mutex_);
  Entry& entry = held_->readers_.at(number_);
  // There was nothing to read before.
  if (entry.bytes == 0) entry.progress_at = held_->options_.now();
  held_->SetBytes(entry, entry.bytes + bytes);
}

void HeldBytes::Reader::Release(size_t bytes) {
  if (held_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(held_->mutex_);
  Entry& entry = held_->readers_.at(number_);
  held_->SetBytes(entry, entry.bytes - bytes);
}

void HeldBytes::Reader::NoteProgress() {
  if (held_ == nullptr) return;
  const std::lock_guard<std::mutex> lock(held_->mutex_);
  Entry& entry = held_->readers_.at(number_);
  entry.progress_at = held_->options_.now();
  entry.being_cut = false;
}

std::optional<SlowReader> HeldBytes::Reader::TakeCut() {
  if (held_ == nullptr) return std::nullopt;
  const std::lock_guard<std::mutex> lock(held_->mutex_);
  const Entry& entry = held_->readers_.at(number_);
  if (!entry.being_cut) return std::nullopt;
  if (held_->cuts_ != nullptr) held_->cuts_->Add();
  return SlowReader{entry.bytes, held_->StallOf(entry, held_->options_.now()), entry.request};
}

}  // namespace millstair
