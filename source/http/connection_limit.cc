#include "http/connection_limit.h"

#include <algorithm>
#include <utility>

namespace millstair {
ConnectionLimit::ConnectionLimit(ConnectionLimitOptions options, StatsRegistry* stats)
    : options_(std::move(options)) {
  if (!options_.now) options_.now = MonotonicNow;
  if (stats == nullptr) return;
  evicted_ = &stats->NewCounter({"millstair_http_connections_evicted_total",
                                 "Connections closed because others needed their place."});
}

std::unique_ptr<ConnectionLimit::Place> ConnectionLimit::Take(std::function<void()> close) {
  std::function<void()> end_other;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (options_.limit > 0 && taken_ >= options_.limit) {
      end_other = EvictOne();
      if (!end_other) return nullptr;
    }
    ++taken_;
  }
  // Without the lock: ending a connection may destroy its place.
  if (end_other) end_other();
  auto place = std::make_unique<Place>(shared_from_this(), std::move(close));
  place->Await(ConnectionWait::kRequest);
  return place;
}

size_t ConnectionLimit::taken() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return taken_;
}

bool ConnectionLimit::exhausted() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (options_.limit == 0 || taken_ < options_.limit) return false;
  return std::all_of(waiting_.begin(), waiting_.end(),
                     [](const Places& places) { return places.empty(); });
}

std::function<void()> ConnectionLimit::EvictOne() {
  for (Places& places : waiting_) {
    if (places.empty()) continue;
    Place& place = *places.front();
    const Duration stalled = options_.now() - place.progress_at_;
    if (place.wait_ == ConnectionWait::kReader && stalled < options_.slow_reader) return nullptr;
    place.Leave();
    place.evicted_ = true;
    --taken_;
    if (evicted_ != nullptr) evicted_->Add();
    return place.close_;
  }
  return nullptr;
}

ConnectionLimit::Place::Place(std::shared_ptr<ConnectionLimit> limit, std::function<void()> close)
    : limit_(std::move(limit)), close_(std::move(close)) {}

ConnectionLimit::Place::~Place() {
  const std::lock_guard<std::mutex> lock(limit_->mutex_);
  Leave();
  if (!evicted_) --limit_->taken_;
}

void ConnectionLimit::Place::Await(ConnectionWait wait) {
  const std::lock_guard<std::mutex> lock(limit_->mutex_);
  if (evicted_) return;
  Leave();
  wait_ = wait;
  progress_at_ = limit_->options_.now();
  Places& places = limit_->waiting_.at(static_cast<size_t>(wait));
  position_ = places.insert(places.end(), this);
}

void ConnectionLimit::Place::Serve() {
  const std::lock_guard<std::mutex> lock(limit_->mutex_);
  Leave();
}

void ConnectionLimit::Place::Leave() {
  if (!position_) return;
  limit_->waiting_.at(static_cast<size_t>(wait_)).erase(*position_);
  position_.reset();
}

}  // namespace millstair
