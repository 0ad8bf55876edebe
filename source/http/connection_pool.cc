#include "http/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace millstair {
namespace {

/// True if the peer has neither closed the connection nor sent anything on it.
bool IsReusable(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Counter& FailedCalls(StatsRegistry& stats, const char* failure) {
  return stats.NewCounter({"millstair_http_calls_failed_total",
                           "Calls to back ends without a whole answer.", "failure", failure});
}

}  // namespace

HttpCallerStats::HttpCallerStats(StatsRegistry& stats)
    : calls(stats.NewCounter({"millstair_http_calls_total", "Calls to back ends."})),
      connections_opened(stats.NewCounter(
          {"millstair_http_call_connections_opened_total", "Connections opened to back ends."})),
      connections_reused(stats.NewCounter(
          {"millstair_http_call_connections_reused_total", "Calls sent on a kept connection."})),
      connections_stale(stats.NewCounter({"millstair_http_call_connections_stale_total",
                                          "Kept connections found closed or with unread bytes."})),
      connections_silent(stats.NewCounter({"millstair_http_call_connections_silent_total",
                                           "Kept connections closed because their back end was "
                                           "silent."})),
      foreign_answers(stats.NewCounter(
          {"millstair_http_call_foreign_answers_total", "Answers that named another call."})),
      failed_not_sent(FailedCalls(stats, "not-sent")),
      failed_unknown(FailedCalls(stats, "unknown")),
      failed_cut(FailedCalls(stats, "cut")) {}

HttpConnectionPool::HttpConnectionPool(boost::asio::io_context& io, HttpCallerOptions options,
                                       StatsRegistry* stats)
    : io_(io),
      options_(options),
      own_stats_(stats == nullptr ? std::make_unique<StatsRegistry>() : nullptr),
      stats_(stats == nullptr ? *own_stats_ : *stats),
      sweep_timer_(io) {}

std::optional<HttpConnectionPool::Socket> HttpConnectionPool::Take(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = idle_.find(address);
  if (found == idle_.end()) return std::nullopt;
  std::vector<Idle>& connections = found->second;
  while (!connections.empty()) {
    Socket socket = std::move(connections.back().socket);
    connections.pop_back();
    if (IsReusable(socket)) {
      stats_.connections_reused.Add();
      return socket;
    }
    stats_.connections_stale.Add();
  }
  idle_.erase(found);
  return std::nullopt;
}

void HttpConnectionPool::Put(const std::string& address, Socket socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (closed_) return;
  std::vector<Idle>& connections = idle_[address];
  if (connections.size() >= options_.max_idle_per_address) connections.erase(connections.begin());
  connections.push_back({std::move(socket), std::chrono::steady_clock::now()});
  ArmSweep();
}

void HttpConnectionPool::RecordResponse(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (closed_) return;
  responded_at_[address] = std::chrono::steady_clock::now();
  ArmSweep();
}

void HttpConnectionPool::RecordNoResponse(const std::string& address, SteadyTime since) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (std::chrono::steady_clock::now() - since < options_.min_silence) return;
  const auto responded = responded_at_.find(address);
  if (responded != responded_at_.end() && responded->second >= since) return;
  const auto found = idle_.find(address);
  if (found == idle_.end()) return;
  stats_.connections_silent.Add(found->second.size());
  idle_.erase(found);
}

void HttpConnectionPool::Close() {
  const std::lock_guard<std::mutex> lock(mutex_);
  closed_ = true;
  idle_.clear();
  sweep_timer_.cancel();
}

void HttpConnectionPool::ArmSweep() {
  if (sweep_armed_) return;
  sweep_armed_ = true;
  sweep_timer_.expires_after(options_.pool_idle_timeout);
  sweep_timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self) self->Sweep();
  });
}

void HttpConnectionPool::Sweep() {
  const std::lock_guard<std::mutex> lock(mutex_);
  sweep_armed_ = false;
  if (closed_) return;
  const SteadyTime oldest = std::chrono::steady_clock::now() - options_.pool_idle_timeout;
  for (auto& [address, connections] : idle_) {
    std::erase_if(connections, [&](Idle& idle) { return idle.since <= oldest; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(responded_at_, [&](const auto& entry) { return entry.second <= oldest; });
  if (!idle_.empty() || !responded_at_.empty()) ArmSweep();
}

}  // namespace millstair
