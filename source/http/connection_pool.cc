#include "http/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <functional>
#include <utility>

namespace millstair {
namespace {

/// Limit on the requests remembered for a connection.
constexpr size_t kMaxRepeatable = 256;

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

void RepeatableRequests::Add(const std::string& request_id, SteadyTime now) {
  if (entries_.size() >= kMaxRepeatable) entries_.pop_front();
  entries_.push_back({std::hash<std::string>()(request_id), now});
}

bool RepeatableRequests::Contains(const std::string& request_id, SteadyTime since) const {
  const size_t hash = std::hash<std::string>()(request_id);
  return std::any_of(entries_.rbegin(), entries_.rend(), [&](const Entry& entry) {
    return entry.hash == hash && entry.answered_at >= since;
  });
}

HttpConnectionPool::HttpConnectionPool(boost::asio::io_context& io, HttpCallerOptions options,
                                       StatsRegistry* stats)
    : io_(io),
      options_(options),
      own_stats_(stats == nullptr ? std::make_unique<StatsRegistry>() : nullptr),
      stats_(stats == nullptr ? *own_stats_ : *stats),
      sweep_timer_(io) {}

std::optional<KeptConnection> HttpConnectionPool::Take(const std::string& address,
                                                       const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = idle_.find(address);
  if (found == idle_.end()) return std::nullopt;
  const SteadyTime since = std::chrono::steady_clock::now() - options_.surplus_window;
  std::vector<Idle>& connections = found->second;
  for (size_t index = connections.size(); index-- > 0;) {
    KeptConnection& kept = connections[index].connection;
    if (!request_id.empty() && kept.repeatable.Contains(request_id, since)) continue;
    std::optional<KeptConnection> taken(std::move(kept));
    connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
    if (IsReusable(taken->socket)) {
      stats_.connections_reused.Add();
      return taken;
    }
    stats_.connections_stale.Add();
  }
  if (connections.empty()) idle_.erase(found);
  return std::nullopt;
}

void HttpConnectionPool::Put(const std::string& address, KeptConnection connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (closed_) return;
  std::vector<Idle>& connections = idle_[address];
  if (connections.size() >= options_.max_idle_per_address) connections.erase(connections.begin());
  connections.push_back({std::move(connection), std::chrono::steady_clock::now()});
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
