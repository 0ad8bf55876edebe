/// What the system says to back ends that register themselves, and how their answers are read.
/// Implemented by the interface in use; the decisions stay here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/backend_life.h"
#include "cluster/configuration.h"
#include "common/ids.h"
#include "common/time.h"
#include "http/exchange.h"

namespace millstair {

/// One request as it goes to one back end.
struct BackendRequest {
  /// Method, target, headers of the caller and body; unchanged.
  HttpRequest http;
  std::string host;
  std::string request_id;
  /// How long the back end may work on it.
  Duration time_left{0};
  /// The life of the back end that is meant.
  InstanceId instance;
  /// Continue a stream after this event.
  std::optional<uint64_t> resume_after;
  /// For whom it runs; empty if for nobody that is known.
  TenantName tenant;
};

/// What the head of an answer says.
struct BackendAnswer {
  /// False if it answers another request.
  bool own = true;
  /// The back end did not run the request and never will.
  bool not_run = false;
  /// Another back end, or another life of this one, has the address.
  bool wrong_instance = false;
  /// The back end ran the request to its end and signed the answer.
  std::string signature;
  /// Weights under which the answer's first part was made; none if it does not say.
  std::optional<WeightVersion> version;
};

/// One event of a stream.
struct StreamEvent {
  uint64_t id = 0;
  std::string data;
  /// Weights from this event on, if it says that they changed.
  std::optional<WeightVersion> version;
};

/// What an engine says of itself.
struct ReportedEngine {
  std::vector<NamedVersion> models;
  /// An order is under way.
  bool busy = false;
  /// Orders taken in this life.
  uint64_t orders = 0;
  /// When this life began; 0 if it doesn't say.
  BirthTime started_at;
};

/// How running generations fare when an engine loads other weights.
enum class LoadMode : uint8_t {
  kFinishFirst,  ///< they end before the load begins
  kContinue,     ///< they go on under the new weights
};

/// An order to load a version of a model.
struct LoadOrder {
  ModelName model;
  WeightVersion version;
  LoadMode mode = LoadMode::kContinue;
  /// Who gives it, and with which fence.
  std::string holder;
  uint64_t fence = 0;
  /// Orders that the engine has to have taken so far; guards against one carried out late.
  uint64_t expected_orders = 0;
  InstanceId instance;
};

enum class LoadAnswer : uint8_t {
  kAccepted,
  kAlreadyLoaded,  ///< the engine has the version already
  kRefused,  ///< another order is under way, or the engine took orders that are not known here
  kUnknown,  ///< it may have been taken
};

/// Stateless; used on any thread.
class BackendProtocol {
 public:
  virtual ~BackendProtocol() = default;
  virtual HttpRequest MakeRequest(const BackendRequest& request) const = 0;
  virtual BackendAnswer ReadAnswer(const HttpResponseHead& head,
                                   const std::string& request_id) const = 0;
  /// Reads one event of a stream, without the empty line that ends it. None for a comment.
  virtual absl::StatusOr<std::optional<StreamEvent>> ReadEvent(std::string_view lines) const = 0;
  /// Asks a back end whether it is well, at the path of its service; only the life that is meant
  /// answers for itself.
  virtual HttpRequest MakeHealthRequest(const InstanceId& instance,
                                        const std::string& path) const = 0;
  /// Whether an answer to that question is from the life that was meant, well or not.
  virtual bool IsAnswerOf(const HttpResponseHead& head, const InstanceId& instance) const = 0;
  virtual HttpRequest MakeReportRequest(const InstanceId& instance) const = 0;
  virtual absl::StatusOr<ReportedEngine> ReadReport(const std::string& body) const = 0;
  virtual HttpRequest MakeLoadOrder(const LoadOrder& order) const = 0;
  virtual LoadAnswer ReadLoadAnswer(int status) const = 0;
};

}  // namespace millstair
