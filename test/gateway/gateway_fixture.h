/// Runs a gateway's live service on the simulated network, with models of the back ends and a
/// cluster state machine in place of the control nodes.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state_machine.h"
#include "common/virtual_environment.h"
#include "emulator/model/engine_model.h"
#include "emulator/model/platform_models.h"
#include "gateway/engine_observer.h"
#include "gateway/gateway_context.h"
#include "gateway/live_service.h"
#include "simulator/network/engine_fabric.h"
#include "simulator/network/http_fabric.h"
#include "test/cluster/fake_configuration_client.h"
#include "test/routing/configuration_fixture.h"

namespace millstair {

/// Applies commands to a cluster state machine after a delay.
class FakeControlClient : public ControlClient {
 public:
  explicit FakeControlClient(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void Submit(const GroupId&, CommandMode, std::string command, Duration timeout,
              Callback done) override {
    if (!reachable) {
      scheduler_.Schedule(timeout,
                          [done] { done(absl::DeadlineExceededError("no control node")); });
      return;
    }
    scheduler_.Schedule(delay, [this, command, timeout, done] {
      const std::string result = machine.Apply(LogIndex(++index_), command);
      if (answers) {
        done(result);
        return;
      }
      scheduler_.Schedule(timeout, [done] { done(absl::DeadlineExceededError("lost")); });
    });
  }
  void Receive(const NodeId&, const PeerMessage&) override {}

  ClusterStateMachine machine;
  Duration delay = std::chrono::milliseconds(2);
  bool reachable = true;
  /// False: commands are applied, but their replies are lost.
  bool answers = true;

 private:
  VirtualScheduler& scheduler_;
  uint64_t index_ = 0;
};

class NullTransport : public PeerTransport {
 public:
  void Send(const NodeId& to, PeerMessage message) override { sent.push_back({to, message}); }
  void SetAddress(const NodeId&, const std::string&) override {}
  struct Sent {
    NodeId to;
    PeerMessage message;
  };
  std::vector<Sent> sent;
};

/// Records one exchange as seen by the caller.
class Call : public HttpCallObserver {
 public:
  void OnHead(const HttpResponseHead& response) override { head = response; }
  void OnBody(std::string bytes) override { body += bytes; }
  void OnFinished() override { finished = true; }
  void OnFailed(CallFailure failure, const std::string&) override { failed = failure; }

  bool ended() const { return finished || failed.has_value(); }
  int status() const { return head ? head->status : 0; }
  std::string Header(std::string_view name) const {
    return head ? std::string(FindHeader(head->headers, name).value_or("")) : "";
  }
  std::string outcome() const { return Header(kOutcomeHeader); }
  /// Concatenated text of all events of a stream.
  std::string StreamText() const;
  bool StreamDone() const { return body.find("data: [DONE]\n\n") != std::string::npos; }

  std::optional<HttpResponseHead> head;
  std::string body;
  bool finished = false;
  std::optional<CallFailure> failed;
  std::unique_ptr<CallHandle> handle;
};

class GatewayFixture {
 public:
  explicit GatewayFixture(GatewayFaults faults = {});
  ~GatewayFixture();

  /// Adds a model engine with weight version 1 on host `name` in zone z1, at address "`name`:1".
  EngineModel& AddEngine(const std::string& name, EngineModelOptions options = {});
  PlainServerModel& AddServer(const std::string& name, PlainServerOptions options = {});
  /// Changes the traffic group `name` ("live" or "pages").
  void ChangeGroup(const std::string& name, const std::function<void(TrafficGroupSpec&)>& change);
  /// Applies the configuration and runs the observer for one second.
  void Begin();
  void Configure() { configuration.Set(builder.Build()); }

  std::unique_ptr<Call> Send(HttpRequest request);
  std::unique_ptr<Call> Complete(const std::string& prompt, uint32_t max_tokens, bool stream,
                                 HttpHeaders headers = {});
  std::unique_ptr<Call> Book(const std::string& key, HttpHeaders headers = {});
  /// Runs until `call` has ended; false if it did not within a minute.
  bool Await(const Call& call);
  void Run(Duration span) { scheduler.RunFor(span); }
  /// Executions of requests with `key` over all servers.
  uint64_t Executions(const std::string& key) const;
  /// Number of generations that engine `name` received.
  int Arrivals(const std::string& name) const;

  VirtualScheduler scheduler{1};
  simulator::Network network{scheduler, {}};
  simulator::HttpFabric http{network};
  std::map<std::string, int> arrivals;
  simulator::EngineFabric engine_fabric;
  simulator::HostId gateway_host;
  simulator::HostId caller_host;
  std::map<std::string, simulator::HostId> hosts;
  ConfigurationBuilder builder;
  FakeConfigurationClient configuration;
  FakeControlClient control{scheduler};
  NullTransport transport;
  VirtualEnvironment environment{scheduler, 5};
  std::map<std::string, std::unique_ptr<VirtualEnvironment>> back_end_environments;
  std::map<std::string, std::unique_ptr<EngineModel>> engines;
  std::map<std::string, std::unique_ptr<PlainServerModel>> servers;
  std::unique_ptr<simulator::FabricHttpCaller> gateway_http;
  std::unique_ptr<simulator::FabricEngineClient> gateway_engines;
  std::unique_ptr<EngineRouter> router;
  std::unique_ptr<GatewayContext> context;
  std::unique_ptr<LiveService> live;
  std::unique_ptr<EngineObserver> observer;
};

}  // namespace millstair
