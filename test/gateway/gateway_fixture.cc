#include "test/gateway/gateway_fixture.h"

#include <boost/json.hpp>

namespace millstair {
namespace {

constexpr char kGatewayAddress[] = "gateway:80";
constexpr Duration kAwaitTimeout = std::chrono::minutes(1);

NodeRecord SelfRecord() {
  NodeRecord self;
  self.node = NodeId("g1");
  self.incarnation = Incarnation(1);
  self.zone = Zone("z1");
  self.gateway = true;
  return self;
}

}  // namespace

std::string Call::StreamText() const {
  std::string text;
  size_t at = 0;
  while ((at = body.find("data: {", at)) != std::string::npos) {
    at += 6;
    const std::string event = body.substr(at, body.find("\n\n", at) - at);
    const auto value = boost::json::parse(event);
    text += value.at("choices").at(0).at("text").as_string().c_str();
  }
  return text;
}

GatewayFixture::GatewayFixture(GatewayFaults faults)
    : engine_fabric(http, [this](const std::string& address, simulator::EngineArrival kind,
                                 const std::string&) {
        if (kind == simulator::EngineArrival::kGeneration) ++arrivals[address];
      }) {
  gateway_host = network.AddHost("gateway", Zone("z1"));
  caller_host = network.AddHost("caller", Zone("clients"));
  builder.Gateway("g1", "z1");
  gateway_http = std::make_unique<simulator::FabricHttpCaller>(http, gateway_host);
  gateway_engines = std::make_unique<simulator::FabricEngineClient>(engine_fabric, gateway_host);
  RouterOptions options;
  options.zone = Zone("z1");
  options.faults.choose_leaving = faults.work_to_leaving;
  router = std::make_unique<EngineRouter>(environment, options);
  context = std::make_unique<GatewayContext>(environment, configuration, control, *gateway_engines,
                                             *gateway_http, *router, SelfRecord(), faults);
  live = std::make_unique<LiveService>(*context);
  observer =
      std::make_unique<EngineObserver>(environment, transport, *gateway_engines, *gateway_http,
                                       configuration, *router, SelfRecord(), ObserverOptions{});
  http.AddAddress(kGatewayAddress, gateway_host);
  http.Listen(kGatewayAddress, *live);
}

GatewayFixture::~GatewayFixture() {
  http.StopListening(kGatewayAddress);
  observer.reset();
  live.reset();
}

EngineModel& GatewayFixture::AddEngine(const std::string& name, EngineModelOptions options) {
  options.initial_weights = {ModelName("caption"), WeightVersion(1), WeightDigest("digest-1")};
  options.first_incarnation = Incarnation(100 * (engines.size() + 1));
  hosts[name] = network.AddHost(name, Zone("z1"));
  auto& own_environment = back_end_environments[name];
  own_environment = std::make_unique<VirtualEnvironment>(scheduler, 100 + engines.size());
  engines[name] = std::make_unique<EngineModel>(*own_environment, options);
  const std::string address = name + ":1";
  http.AddAddress(address, hosts[name]);
  engine_fabric.Add(address, *engines[name]);
  builder.Engine(name, "z1");
  return *engines[name];
}

PlainServerModel& GatewayFixture::AddServer(const std::string& name, PlainServerOptions options) {
  options.name = name;
  hosts[name] = network.AddHost(name, Zone("z1"));
  auto& own_environment = back_end_environments[name];
  own_environment = std::make_unique<VirtualEnvironment>(scheduler, 200 + servers.size());
  servers[name] = std::make_unique<PlainServerModel>(*own_environment, options);
  const std::string address = name + ":1";
  http.AddAddress(address, hosts[name]);
  http.Listen(address, *servers[name]);
  builder.Engine(name, "z1", EngineType::kHttp);
  return *servers[name];
}

void GatewayFixture::ChangeGroup(const std::string& name,
                                 const std::function<void(TrafficGroupSpec&)>& change) {
  Resource& group =
      builder.mutable_configuration().resources.at(ResourceKey{ResourceKind::kTrafficGroup, name});
  change(std::get<TrafficGroupSpec>(group.spec));
}

void GatewayFixture::Begin() {
  Configure();
  observer->Start();
  Run(std::chrono::seconds(1));
}

std::unique_ptr<Call> GatewayFixture::Send(HttpRequest request) {
  auto call = std::make_unique<Call>();
  simulator::FabricHttpCaller caller(http, caller_host);
  call->handle = caller.Start(kGatewayAddress, std::move(request), *call);
  return call;
}

std::unique_ptr<Call> GatewayFixture::Complete(const std::string& prompt, uint32_t max_tokens,
                                               bool stream, HttpHeaders headers) {
  const boost::json::object body{
      {"model", "caption"}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", stream}};
  return Send({"POST", "/v1/completions", std::move(headers), boost::json::serialize(body)});
}

std::unique_ptr<Call> GatewayFixture::Book(const std::string& key, HttpHeaders headers) {
  headers.push_back({"Idempotency-Key", key});
  headers.push_back({"Millstair-Repeatable", "false"});
  return Send({"POST", "/bookings", std::move(headers), "drop 7"});
}

bool GatewayFixture::Await(const Call& call) {
  return scheduler.RunUntilTrue([&call] { return call.ended(); }, kAwaitTimeout);
}

uint64_t GatewayFixture::Executions(const std::string& key) const {
  uint64_t count = 0;
  for (const auto& [name, server] : servers) {
    for (const auto& [execution, record] : server->executions()) {
      if (execution.key == key) count += record.count;
    }
  }
  return count;
}

int GatewayFixture::Arrivals(const std::string& name) const {
  const auto found = arrivals.find(name + ":1");
  return found == arrivals.end() ? 0 : found->second;
}

}  // namespace millstair
