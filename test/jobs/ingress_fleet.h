/// Control nodes and gateways of a cluster in virtual time, in front of page servers that can
/// crash.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cluster/control_node.h"
#include "jobs/ingress_node.h"
#include "storage/memory_file_system.h"
#include "test/ingress/fixed_table.h"
#include "test/jobs/crashing_servers.h"

namespace millstair {

class IngressFleet {
 public:
  static constexpr int kControlNodes = 3;

  IngressFleet(uint64_t seed, int gateways, int servers, Route route);
  ~IngressFleet();

  /// Sends a request to a gateway, such as "g1"; `done` receives the result.
  void Ask(const std::string& gateway, const std::string& target,
           std::function<void(const ForwardResult&)> done);
  /// Restarts the process of a gateway.
  void Restart(const std::string& gateway);
  /// Drops all messages from and to the node until it is healed.
  void Isolate(const std::string& node) { isolated_.insert(node); }
  void Heal(const std::string& node) { isolated_.erase(node); }
  /// Drops all messages between a gateway and the control nodes; gateways still reach each other.
  void CutFromControlNodes(const std::string& gateway) { without_control_.insert(gateway); }
  /// The control node that leads the cluster group; null if there is none.
  ControlNode* Leader();
  IngressNode& gateway(const std::string& name) { return *processes_.at(name).ingress; }

  /// The gateway that received the request with this identifier.
  const std::string& GatewayOf(const std::string& request_id) const {
    return gateways_.at(request_id);
  }

  VirtualScheduler scheduler;
  std::unique_ptr<CrashingServers> servers;

 private:
  class Transport;
  struct Process {
    std::unique_ptr<VirtualEnvironment> environment;
    std::unique_ptr<PeerTransport> transport;
    std::unique_ptr<ControlNode> control;
    std::unique_ptr<IngressNode> ingress;
  };

  void Start(const std::string& name);
  void StartControl(Process& process, const NodeRecord& self);
  void Deliver(const std::string& from, const NodeId& to, const PeerMessage& message);
  void Register(const BackendInstance& instance);
  std::vector<ControlEndpoint> Endpoints() const;

  const uint64_t seed_;
  uint64_t incarnations_ = 0;
  FakeProtocol protocol_;
  FixedTable table_;
  std::unique_ptr<VirtualEnvironment> disk_environment_;
  std::map<std::string, std::unique_ptr<MemoryFileSystem>> disks_;
  FakeBackends platform_{scheduler};
  std::map<std::string, Process> processes_;
  std::set<std::string> isolated_;
  std::set<std::string> without_control_;
  std::map<std::string, std::string> gateways_;
  /// Server incarnations that no control node has acknowledged yet.
  std::map<InstanceId, BackendInstance> unregistered_;
};

}  // namespace millstair
