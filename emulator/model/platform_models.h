/// Models of external systems: plain HTTP back ends, the weight store, the scorer and the
/// platform's machine list. Each handles HTTP exchanges on an Environment, in virtual or real time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/environment.h"
#include "common/ids.h"
#include "http/exchange.h"

namespace millstair {

struct PlainServerOptions {
  /// Server name in responses.
  std::string name = "plain";
  Duration delay_min = std::chrono::milliseconds(2);
  Duration delay_max = std::chrono::milliseconds(10);
  /// Fraction of requests refused before execution (503, Millstair-Outcome: not-run), 0..1.
  double refusal = 0.0;
  /// Fraction of requests that are executed and whose response is then truncated, 0..1.
  double cut_answer = 0.0;
  uint32_t max_concurrent = 256;
  /// Bytes of padding in a response body, in addition to the echo of the request.
  uint32_t padding_bytes = 0;
};

/// Identifies executions of the same method, path and idempotency key.
struct ExecutionKey {
  std::string method;
  /// Path without the query.
  std::string path;
  /// Value of Idempotency-Key; empty if absent.
  std::string key;
  friend auto operator<=>(const ExecutionKey&, const ExecutionKey&) = default;  // NOLINT
};

struct ExecutionRecord {
  uint64_t count = 0;
  TimePoint first_at;
  TimePoint last_at;
};

/// A web or booking server. Responds 200 with JSON {"server", "method", "path", "key", "request"
/// (value of X-Request-Id), "body", "execution"}, so that callers can verify that the response
/// belongs to their request. While draining it responds 503 with Millstair-Outcome: not-run and
/// Millstair-Draining: true. GET /readyz gets 200, or 503 while draining, and is not counted as a
/// request.
class PlainServerModel : public RequestHandler {
 public:
  PlainServerModel(Environment& environment, PlainServerOptions options);
  ~PlainServerModel() override;
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

  void Drain();
  void Undrain();
  /// Aborts all pending responses. Requests that arrive while crashed are aborted.
  void Crash();
  void Restart();
  bool running() const;
  /// True if no request is running.
  bool Idle() const;
  void SetOptions(const PlainServerOptions& options);

  const std::map<ExecutionKey, ExecutionRecord>& executions() const;
  uint64_t refused() const;
  /// Number of requests that arrived while draining (all refused), and the time of the last one.
  uint64_t arrived_while_draining() const;
  TimePoint last_arrival_while_draining() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

struct WeightStoreOptions {
  /// Total rate over all readers.
  uint64_t bytes_per_second = 400'000'000;
  /// Capacity of the token bucket: bytes that can be read at once.
  uint64_t burst_bytes = 400'000'000;
  /// Size of a version that was not put.
  uint64_t version_bytes = 100'000'000;
  /// Maximum number of reads that wait for tokens; further ones get 429.
  uint32_t max_waiting = 16;
};

/// Rate-limited store. GET /weights/<location> responds, after the delay that the rate limit
/// imposes, 200 with Millstair-Weight-Digest and the size in Millstair-Weight-Bytes (without the
/// weights themselves); 429 with Retry-After (whole seconds) when too many reads wait. PUT
/// /weights/<location> with body {"digest","bytes"} adds a version; an unknown location has the
/// digest "sha-<location>".
class WeightStoreModel : public RequestHandler {
 public:
  WeightStoreModel(Environment& environment, WeightStoreOptions options);
  ~WeightStoreModel() override;
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

  /// Read without HTTP. ResourceExhausted when too many reads wait.
  void Fetch(const std::string& location, std::function<void(absl::StatusOr<WeightDigest>)> done);
  void Put(const std::string& location, const WeightDigest& digest, uint64_t bytes);
  /// While false, all reads fail with Unavailable (503).
  void SetAvailable(bool available);

  uint64_t fetches() const;
  uint64_t refused() const;
  uint64_t bytes_served() const;
  /// Maximum number of reads that waited at the same time.
  uint32_t peak_waiting() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

struct ScorerOptions {
  Duration delay = std::chrono::milliseconds(20);
  /// Fraction of requests that get 503, 0..1.
  double failure = 0.0;
};

/// Deterministic score of a text, 0..1.
double ScoreOf(const std::string& text);

/// POST /score {"text"} -> {"score"}.
class ScorerModel : public RequestHandler {
 public:
  ScorerModel(Environment& environment, ScorerOptions options);
  ~ScorerModel() override;
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;
  uint64_t scored() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

enum class MachineState { kLive, kLeaving, kGone };

struct MachineEntry {
  /// IP address.
  std::string address;
  MachineState state = MachineState::kLive;
  friend bool operator==(const MachineEntry&, const MachineEntry&) = default;
};

struct MachineListOptions {
  /// Delay until a change is visible in the list.
  Duration lag = std::chrono::seconds(5);
  /// Fraction of changes that take `late_lag` instead, 0..1.
  double late = 0.0;
  Duration late_lag = std::chrono::seconds(30);
  /// Fraction of changes that are never visible (until the next change of that machine), 0..1.
  double missing = 0.0;
};

/// The platform's list of machines, which lags behind their actual state. GET /machines.
class MachineListModel : public RequestHandler {
 public:
  MachineListModel(Environment& environment, MachineListOptions options);
  ~MachineListModel() override;
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

  /// Adds a machine to the list without delay.
  void Add(const MachineEntry& machine);
  /// Changes the actual state; the list shows it later, or never.
  void SetState(const std::string& address, MachineState state);
  /// The list as currently visible, by address.
  std::vector<MachineEntry> Listed() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace millstair
