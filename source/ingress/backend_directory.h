/// The back ends that registered themselves, as one node sees them: which are there, what this node
/// has sent to each, and how they fared. Picks one for a request.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/configuration.h"
#include "common/environment.h"
#include "common/ids.h"
#include "routing/outlier_ejection.h"

namespace millstair {

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

  void Update(const Configuration& configuration);

  /// The back end of `service` that is expected to answer first; none if there is no other than
  /// `excluded`. Those that failed lately are taken only if there is nothing else.
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
  void NoteOver(const InstanceId& instance);
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
    bool over = false;
  };

  bool MayGetWork(const Backend& backend) const;
  double Cost(const Backend& backend) const;
  void RefreshServices();

  Environment& environment_;
  const Zone own_zone_;
  std::map<InstanceId, Backend> backends_;
  /// Instances that may get work, by service. Where two have one address, the later one.
  std::map<ServiceName, std::vector<InstanceId>> services_;
};

}  // namespace millstair
