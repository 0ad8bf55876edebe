/// Builds requests to registered back ends and parses their responses. Implemented by the API in
/// use; contains no decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/backend_instance_id.h"
#include "cluster/configuration.h"
#include "common/ids.h"
#include "common/time.h"
#include "http/exchange.h"

namespace millstair {

/// A request as sent to one back end.
struct BackendRequest {
  /// The caller's method, target, headers and body, unchanged.
  HttpRequest http;
  std::string host;
  std::string request_id;
  /// Time limit of the back end.
  Duration time_left{0};
  /// The incarnation of the back end that should run it.
  InstanceId instance;
  /// Resume a stream after this event.
  std::optional<uint64_t> resume_after;
  /// Empty if the caller is unknown.
  TenantName tenant;
};

/// What the head of a response states.
struct BackendAnswer {
  /// False if it is the response to another request.
  bool own = true;
  /// The back end did not run the request and never will.
  bool not_run = false;
  /// Another back end, or another incarnation of this one, uses the address.
  bool wrong_instance = false;
  /// Set if the back end completed the request and signed its response.
  std::string signature;
  /// Version of the weights at the start of the response; none if not stated.
  std::optional<WeightVersion> version;
};

/// One event of a stream.
struct StreamEvent {
  uint64_t id = 0;
  std::string data;
  /// Version of the weights from this event on, if it states a change.
  std::optional<WeightVersion> version;
};

/// Status of an engine as it reports it.
struct ReportedEngine {
  std::vector<NamedVersion> models;
  /// An order is being carried out.
  bool busy = false;
  /// Orders accepted by this incarnation.
  uint64_t orders = 0;
  /// Start time of this incarnation; 0 if not stated.
  StartTime started_at;
};

/// What happens to running generations when an engine loads other weights.
enum class LoadMode : uint8_t {
  kFinishFirst,  ///< they finish before the load begins
  kContinue,     ///< they continue with the new weights
};

/// An order to load a version of a model.
struct LoadOrder {
  ModelName model;
  WeightVersion version;
  LoadMode mode = LoadMode::kContinue;
  /// The lease holder that sends the order, and its fence.
  std::string holder;
  uint64_t fence = 0;
  /// Number of orders that the engine must have accepted so far; protects against delayed orders.
  uint64_t expected_orders = 0;
  InstanceId instance;
};

enum class LoadAnswer : uint8_t {
  kAccepted,
  kAlreadyLoaded,  ///< the engine has loaded the version already
  kRefused,        ///< another order is being carried out, or the number of accepted orders differs
  kUnknown,        ///< the outcome is unknown
};

/// Stateless and thread-safe.
class BackendProtocol {
 public:
  virtual ~BackendProtocol() = default;
  virtual HttpRequest MakeRequest(const BackendRequest& request) const = 0;
  virtual BackendAnswer ReadAnswer(const HttpResponseHead& head,
                                   const std::string& request_id) const = 0;
  /// Parses one event of a stream, without the empty line that ends it. None for a comment.
  virtual absl::StatusOr<std::optional<StreamEvent>> ReadEvent(std::string_view lines) const = 0;
  /// Builds a health check on the path of its service; only the incarnation `instance` may respond
  /// to it.
  virtual HttpRequest MakeHealthRequest(const InstanceId& instance,
                                        const std::string& path) const = 0;
  /// Whether the response to a health check came from `instance`, healthy or not.
  virtual bool IsAnswerOf(const HttpResponseHead& head, const InstanceId& instance) const = 0;
  virtual HttpRequest MakeReportRequest(const InstanceId& instance) const = 0;
  virtual absl::StatusOr<ReportedEngine> ReadReport(const std::string& body) const = 0;
  virtual HttpRequest MakeLoadOrder(const LoadOrder& order) const = 0;
  virtual LoadAnswer ReadLoadAnswer(int status) const = 0;
};

}  // namespace millstair
