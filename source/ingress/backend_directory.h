/// The back ends that registered themselves, as one node sees them: which are there, what this node
/// has sent to each, and how they fared. Picks one for a request.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/configuration.h"
#include "common/environment.h"
#include "common/ids.h"
#include "ingress/cold_limits.h"
#include "limits/token_bucket.h"
#include "routing/outlier_ejection.h"

namespace millstair {

/// What bounds requests to back ends that are slow after their start.
struct ColdPolicy {
  /// Requests a second by service; services without one set no bound.
  std::map<ServiceName, double> service_rates;
  ColdBound bound;
  friend bool operator==(const ColdPolicy&, const ColdPolicy&) = default;
};

/// How a request at a back end ended.
enum class BackendEnd : uint8_t {
  kAnswered,
  kRefused,        ///< it did not run the request
  kFailed,         ///< no whole answer came
  kUnreachable,    ///< nothing could be sent
  kWrongInstance,  ///< another life has the address: this one is over
  kCancelled,      ///< this node wanted no answer any more
};

/// Lives on the node's serial executor.
class BackendDirectory {
 public:
  BackendDirectory(Environment& environment, Zone own_zone);

  /// Takes over a whole configuration.
  void Update(const Configuration& configuration);
  /// Takes over what changed, which led to `configuration`. The work grows with the changes, not
  /// with the back ends that are known: 1.3 us for one change among 10,000, where walking all of
  /// them took 9.5 ms (micro-benchmark OneServerChanges).
  void Apply(const Configuration& configuration, const ConfigurationDelta& changes);

  /// Whether this node is the one of its kind that may send to a back end that is slow after its
  /// start; every node unless told otherwise.
  using ColdAssignmentCheck = std::function<bool(const InstanceId&)>;
  void SetColdAssignmentCheck(ColdAssignmentCheck turn) {
    cold_assignment_check_ = std::move(turn);
  }
  void SetColdPolicy(ColdPolicy policy);
  /// How many requests may be begun at `instance` now, since it is slow after its start; no bound
  /// for any other.
  uint32_t ColdAllowance(const InstanceId& instance);

  /// The back end of `service` that is expected to answer first; none if there is no other than
  /// `excluded`. Those that failed lately are taken only if there is nothing else. Of many, the
  /// first few sound ones in this node's own order are looked at, so that it keeps connections to
  /// them: 14,806 were opened for 15,241 requests where each of 2,222 was as likely.
  std::optional<BackendInstance> Pick(const ServiceName& service,
                                      const std::set<InstanceId>& excluded);
  /// All that may get new work, in the order of their identifiers.
  std::vector<const BackendInstance*> Live(const ServiceName& service) const;
  /// Null if it may not get new work.
  const BackendInstance* FindLive(const InstanceId& instance) const;
  bool Ejected(const InstanceId& instance) const;

  /// Requests are counted from Begin to End.
  void Begin(const InstanceId& instance);
  void End(const InstanceId& instance, BackendEnd end, Duration elapsed);
  /// Another life of its server is known to have its address: it gets no work any more.
  void OnSuperseded(const InstanceId& instance);
  uint32_t Running(const InstanceId& instance) const;
  /// When the latest request was begun; the epoch if none was.
  TimePoint LatestBegin(const InstanceId& instance) const;

 private:
  struct Backend {
    BackendInstance record;
    uint32_t running = 0;
    TimePoint latest_begin;
    /// Smoothed time of whole answers; 0 before the first.
    double answer_seconds = 0;
    OutlierEjection ejection;
    /// It refused for lack of room; passed over until then.
    TimePoint full_until;
    /// Another life answered at its address.
    bool superseded = false;
    /// The cluster has forgotten it; it goes with the last of its requests.
    bool forgotten = false;
    /// Stands in `at_address_`.
    bool attached = false;
    /// Stands in `services_`, under this name.
    std::optional<ServiceName> candidate_for;
    /// Slow after its start until then, as far as this node knows.
    TimePoint cold_until;
    /// What this node may send while it is; none while it is not.
    std::optional<TokenBucket> cold_tokens;
    /// Place in this node's own order of the back ends of a service: those of its zone first.
    uint64_t preference = 0;
  };
  /// The back ends of a service that may get work.
  struct ServiceBackends {
    /// In the order of their identifiers.
    std::vector<Backend*> by_id;
    /// In the order of their preference.
    std::vector<Backend*> by_preference;
  };

  bool MayGetWork(const Backend& backend) const;
  uint32_t ColdAllowance(Backend& backend);
  uint64_t PreferenceOf(const BackendInstance& record) const;
  /// It has been out of reach or was kept without work: it may be slow again, and says so with its
  /// next heartbeats.
  void AssumeCold(Backend& backend);
  void ApplyEvacuations(const std::map<Zone, EvacuatedZone>& evacuated);
  void RefreshZoneCandidates(const Zone& zone);
  double Cost(const Backend& backend) const;
  void RecordEnd(Backend& backend, BackendEnd end, Duration elapsed);
  void MarkSuperseded(Backend& backend);
  void ApplyRecord(const BackendInstance& record);
  void Forget(const InstanceId& instance);
  void EraseIfIdle(const InstanceId& instance);
  /// Takes a back end out of `at_address_`, and out of the choice.
  void Detach(Backend& backend);
  void Attach(Backend& backend);
  /// Lists the latest of those at an address, if it may get work, and none of the others.
  void RefreshCandidates(const std::string& address);
  void AddCandidate(Backend& backend);
  void RemoveCandidate(Backend& backend);

  Environment& environment_;
  const Zone own_zone_;
  /// Its entries don't move: the indices below point at them.
  std::map<InstanceId, Backend> backends_;
  /// Those that are neither gone nor over, by address: a new life may come before the old one is
  /// known to have ended.
  std::unordered_map<std::string, std::vector<Backend*>> at_address_;
  /// Those that may get work, by service. Where two have one address, the later one.
  std::map<ServiceName, ServiceBackends> services_;
  /// Sets this node's order of preference apart from those of others.
  const uint64_t preference_seed_;
  std::set<Zone> evacuated_;
  ColdPolicy cold_;
  ColdAssignmentCheck cold_assignment_check_ = [](const InstanceId&) { return true; };
};

}  // namespace millstair
