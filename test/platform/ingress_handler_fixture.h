/// A gateway with a fake control node and fake back ends, in virtual time.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cluster/control_messages.h"
#include "fmt/format.h"
#include "http/response_memory.h"
#include "jobs/job_group_bootstrapper.h"
#include "platform/ingress_request_handler.h"
#include "platform/routing_codec.h"
#include "platform/server_protocol.h"
#include "test/ingress/fake_backends.h"
#include "test/platform/recording_writer.h"

namespace millstair::platform {

/// A control node that replies to heartbeats with a routing document, unless it is isolated.
class FakeControlNode : public PeerTransport {
 public:
  /// Its messages are delivered in `node_environment`, and queue there while that is suspended.
  explicit FakeControlNode(VirtualEnvironment& node_environment)
      : node_environment_(node_environment) {}

  void SetAddress(const NodeId&, const std::string&) override {}
  void Send(const NodeId& to, PeerMessage message) override {
    if (message.kind == MessageKind::kCommand) return AnswerCommand(to, message);
    if (message.kind != MessageKind::kHeartbeat || isolated) return;
    const auto heartbeat = DecodeHeartbeat(message.payload);
    NodeHeartbeatReply reply{heartbeat->nonce, revision, ""};
    if (heartbeat->sender.applied < revision) reply.delta = EncodeDelta(Delta());
    node_environment_.Schedule(std::chrono::milliseconds(1), [this, to, reply] {
      node->Receive(to, {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
    });
  }
  /// A push does not confirm the configuration: its sender may be behind.
  void Push() {
    node->Receive(NodeId("c1"),
                  {MessageKind::kConfigurationPush, EncodeConfigurationPush(EncodeDelta(Delta()))});
  }
  void Replace(std::string content) {
    document = std::move(content);
    revision = Next(revision);
  }
  void SetInstances(std::vector<BackendInstance> live) {
    instances = std::move(live);
    revision = Next(revision);
  }

  IngressNode* node = nullptr;
  bool isolated = false;
  std::string document;
  std::vector<BackendInstance> instances = {LiveInstance("b:1", "pages")};
  Revision revision;
  /// Replies of the storage node "s1", which leads the job group, to commands.
  std::function<GroupCommandReply(const GroupCommand&)> job_leader;

 private:
  void AnswerCommand(const NodeId& to, const PeerMessage& message) {
    const auto command = DecodeGroupCommand(message.payload);
    if (to != NodeId("s1") || !command.ok() || !job_leader) return;
    GroupCommandReply reply = job_leader(*command);
    reply.id = command->id;
    node_environment_.Schedule(std::chrono::milliseconds(1), [this, to, reply] {
      node->Receive(to, {MessageKind::kCommandReply, EncodeGroupCommandReply(reply)});
    });
  }
  ConfigurationDelta Delta() const {
    ConfigurationDelta delta;
    delta.to = revision;
    delta.full = true;
    delta.routing = RoutingDocument{revision.value(), document};
    delta.changed_instances = instances;
    NodeRecord storage;
    storage.node = NodeId("s1");
    storage.storage = true;
    delta.changed_nodes = {storage};
    JobGroup jobs;
    jobs.group = kJobGroup;
    jobs.placement.leader = storage.node;
    jobs.placement.members = {{ReplicaId(1), storage.node, "1:2", true}};
    jobs.initial_members = jobs.placement.members;
    delta.changed_job_groups = {jobs};
    return delta;
  }

  VirtualEnvironment& node_environment_;
};

/// Routes /p/ to `service` for callers with a key, /open/ for everyone and /j/ for jobs. `keys` are
/// the keys of the only tenant as JSON strings.
inline std::string Document(uint64_t version, const std::string& keys,
                            const std::string& service = "pages") {
  return fmt::format(
      R"({{"version":{0},"routes":[
          {{"name":"r","host":"h","path_prefix":"/p/","kind":"safe","timeout_ms":800,
            "target_ms":150,"attempts":2,"service":"{2}"}},
          {{"name":"o","host":"h","path_prefix":"/open/","kind":"safe","timeout_ms":800,
            "target_ms":150,"attempts":2,"service":"pages","public":true}},
          {{"name":"j","host":"h","path_prefix":"/j/","kind":"rollout","deadline_ms":7500,
            "queue_ttl_s":40,"attempts":3,"service":"pages"}}],
          "services":[{{"name":"pages"}},{{"name":"shop"}}],"limits":{{}},
          "tenants":[{{"name":"t1","api_keys":[{1}]}}]}})",
      version, keys, service);
}

/// Gateway "g1", its control node and a server of "pages" at b:1.
class IngressHandlerFixture {
 public:
  /// `response_bound`: see HeldBytesOptions::bound.
  explicit IngressHandlerFixture(size_t response_bound = 0)
      : held(std::make_shared<HeldBytes>(HeldBytesOptions{.bound = response_bound, .now = {}})),
        memory(environment, held),
        control(environment) {
    Serve("b:1");
    IngressNodeOptions options;
    options.self.node = NodeId("g1");
    options.self.zone = Zone("z1");
    options.control_nodes = {{NodeId("c1"), "1:1", Zone("z1")}};
    options.usage_window = std::chrono::seconds(5);
    options.memory = &memory;
    node = std::make_unique<IngressNode>(environment, control, backends, wire, codec, options);
    control.node = node.get();
    control.Replace(Document(1, R"("key-1","key-2")"));
    calls = std::make_unique<IngressRequestHandler>(*node);
  }

  /// Makes the back end at `address` respond to every request.
  void Serve(const std::string& address) {
    backends.Serve(address, [](const HttpRequest& request) {
      const auto id = FindHeader(request.headers, "Request-Id");
      return FakeAnswer{FakeAnswer::Kind::kAnswer,
                        200,
                        {{"Request-Id", std::string(id.value_or(""))}, {"Stamp", "s"}},
                        {"whole"}};
    });
  }

  void Start() {
    node->Start();
    scheduler.RunFor(std::chrono::milliseconds(200));
  }

  /// Sends a request and returns its response, which is filled in as it arrives.
  std::shared_ptr<Answer> Send(const std::string& method, const std::string& target,
                               const std::string& key, const std::string& body = "") {
    HttpHeaders headers = {{"Host", "h"}, {"Request-Id", "id-1"}};
    if (!key.empty()) headers.push_back({"Key", key});
    const auto answer = std::make_shared<Answer>();
    calls->Handle({method, target, headers, body}, std::make_shared<RecordingWriter>(answer));
    return answer;
  }
  Answer Request(const std::string& method, const std::string& target, const std::string& key,
                 const std::string& body = "") {
    const auto answer = Send(method, target, key, body);
    scheduler.RunFor(std::chrono::milliseconds(100));
    return *answer;
  }
  int Page(const std::string& key) { return Request("POST", "/p/x", key).status; }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  std::shared_ptr<HeldBytes> held;
  ResponseMemory memory;
  FakeBackends backends{scheduler};
  ServerProtocol wire;
  RoutingCodec codec;
  FakeControlNode control;
  std::unique_ptr<IngressNode> node;
  std::unique_ptr<IngressRequestHandler> calls;
};

}  // namespace millstair::platform
