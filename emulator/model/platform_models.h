/// Models of what stands around the system: plain HTTP back ends, weight store, scorer, the
/// platform's machine list. Each answers HTTP exchanges on an Environment, in virtual or real time.
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
  /// Name put in answers.
  std::string name = "plain";
  Duration delay_min = std::chrono::milliseconds(2);
  Duration delay_max = std::chrono::milliseconds(10);
  /// Share of requests that are refused before execution (503, Millstair-Outcome: not-run), 0..1.
  double refusal = 0.0;
  /// Share of requests that are executed and whose answer is then cut, 0..1.
  double cut_answer = 0.0;
  uint32_t max_concurrent = 256;
  /// Body bytes of an answer beyond the echo of the request.
  uint32_t padding_bytes = 0;
};

/// Executions of one method, path and key.
struct ExecutionKey {
  std::string method;
  /// Path without the query.
  std::string path;
  /// Idempotency-Key; empty without one.
  std::string key;
  friend auto operator<=>(const ExecutionKey&, const ExecutionKey&) = default;  // NOLINT
};

struct ExecutionRecord {
  uint64_t count = 0;
  TimePoint first_at;
  TimePoint last_at;
};

/// A web or booking server. Answers 200 with JSON {"server", "method", "path", "key", "request"
/// (value of X-Request-Id), "body", "execution"} so that callers can see that the answer is their
/// own. Draining answers are 503 with Millstair-Outcome: not-run and Millstair-Draining: true.
/// GET /readyz answers 200, or 503 while draining; it is not counted as a request.
class PlainServerModel : public RequestHandler {
 public:
  PlainServerModel(Environment& environment, PlainServerOptions options);
  ~PlainServerModel() override;
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

  void Drain();
  void Undrain();
  /// Aborts all answers under way. Requests that arrive while crashed are aborted.
  void Crash();
  void Restart();
  bool running() const;
  /// No request runs.
  bool Idle() const;
  void SetOptions(const PlainServerOptions& options);

  const std::map<ExecutionKey, ExecutionRecord>& executions() const;
  uint64_t refused() const;
  /// Requests that arrived while draining (all refused), and the time of the last one.
  uint64_t arrived_while_draining() const;
  TimePoint last_arrival_while_draining() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

struct WeightStoreOptions {
  /// Rate over all readers.
  uint64_t bytes_per_second = 400'000'000;
  /// Bucket size: bytes that may be read at once.
  uint64_t burst_bytes = 400'000'000;
  /// Size of one version that was not put.
  uint64_t version_bytes = 100'000'000;
  /// Readings that wait for tokens; further ones get 429.
  uint32_t max_waiting = 16;
};

/// Rate-limited store. GET /weights/<location>: 200 with Millstair-Weight-Digest and the size in
/// Millstair-Weight-Bytes (the body itself is left out) after the time that the rate allows; 429
/// with Retry-After (whole seconds) when too many wait. PUT /weights/<location> with body
/// {"digest","bytes"} makes a version known; an unknown location has the digest "sha-<location>".
class WeightStoreModel : public RequestHandler {
 public:
  WeightStoreModel(Environment& environment, WeightStoreOptions options);
  ~WeightStoreModel() override;
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

  /// Direct reading. ResourceExhausted when too many wait.
  void Fetch(const std::string& location, std::function<void(absl::StatusOr<WeightDigest>)> done);
  void Put(const std::string& location, const WeightDigest& digest, uint64_t bytes);
  /// While false all readings fail with Unavailable (503).
  void SetAvailable(bool available);

  uint64_t fetches() const;
  uint64_t refused() const;
  uint64_t bytes_served() const;
  /// Largest number of readings that waited at once.
  uint32_t peak_waiting() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

struct ScorerOptions {
  Duration delay = std::chrono::milliseconds(20);
  /// Share of requests answered by 503, 0..1.
  double failure = 0.0;
};

/// Score of a text, 0..1; a function of the text alone.
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
  /// IP number.
  std::string address;
  MachineState state = MachineState::kLive;
  friend bool operator==(const MachineEntry&, const MachineEntry&) = default;
};

struct MachineListOptions {
  /// Time until a change shows in the list.
  Duration lag = std::chrono::seconds(5);
  /// Share of changes that take `late_lag` instead, 0..1.
  double late = 0.0;
  Duration late_lag = std::chrono::seconds(30);
  /// Share of changes that never show (until the next change of that machine), 0..1.
  double missing = 0.0;
};

/// The platform's list of machines, behind reality. GET /machines.
class MachineListModel : public RequestHandler {
 public:
  MachineListModel(Environment& environment, MachineListOptions options);
  ~MachineListModel() override;
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

  /// Puts a machine in the list at once, without lag.
  void Add(const MachineEntry& machine);
  /// What truly happened; shows in the list later, or never.
  void SetState(const std::string& address, MachineState state);
  /// The list as it shows now, by address.
  std::vector<MachineEntry> Listed() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace millstair
