#include "bench/demo/fleet_file.h"

#include <limits>

#include "fmt/format.h"
#include "resources/scalar_text.h"
#include "resources/yaml_documents.h"
#include "resources/yaml_fields.h"

namespace millstair {
namespace {

constexpr double kMaxRate = 10'000;
constexpr uint64_t kMaxCount = 100'000;
constexpr Duration kMaxTrainTime = std::chrono::minutes(10);

absl::Status CheckOptionalAddress(std::string_view text) {
  return text.empty() ? absl::OkStatus() : CheckIpAndPort(text);
}

absl::Status CheckTrafficKind(std::string_view text) {
  if (text == "page" || text == "lookup" || text == "booking") return absl::OkStatus();
  return absl::InvalidArgumentError("is none of page, lookup, booking");
}

checks::CallKind TrafficKind(const std::string& text) {
  if (text == "lookup") return checks::CallKind::kLookup;
  return text == "booking" ? checks::CallKind::kBooking : checks::CallKind::kPage;
}

FleetNode ReadNode(YamlFields& fields) {
  FleetNode node;
  fields.Text("name", node.name, Presence::kRequired, CheckName);
  fields.Text("zone", node.zone, Presence::kRequired, CheckName);
  fields.Text("address", node.address, Presence::kRequired, CheckIpAndPort);
  fields.Text("client_address", node.client_address, Presence::kOptional, CheckOptionalAddress);
  fields.Flag("gateway", node.gateway);
  if (node.client_address.empty()) node.client_address = node.address;
  return node;
}

FleetBackend ReadBackend(YamlFields& fields) {
  FleetBackend backend;
  fields.Text("name", backend.name, Presence::kRequired, CheckName);
  fields.Text("address", backend.address, Presence::kRequired, CheckIpAndPort);
  return backend;
}

FleetTraffic ReadTraffic(YamlFields& fields) {
  FleetTraffic traffic;
  std::string kind = "page";
  fields.Text("kind", kind, Presence::kRequired, CheckTrafficKind);
  traffic.kind = TrafficKind(kind);
  fields.Text("host", traffic.host, Presence::kOptional, {});
  fields.Text("path", traffic.path, Presence::kRequired, {});
  fields.Double("rate", traffic.rate, 0, kMaxRate);
  return traffic;
}

template <class Item>
std::vector<Item> ReadList(const std::string& file, YamlFields& parent, const std::string& key,
                           Item (*read)(YamlFields&), Findings& findings) {
  std::vector<Item> items;
  const YAML::Node list = parent.Consume(key, Presence::kRequired);
  if (!list.IsDefined()) return items;
  for (const YAML::Node& node : list) {
    YamlFields fields(file, node, key, findings);
    items.push_back(read(fields));
    fields.Finish();
  }
  return items;
}

}  // namespace

FleetFile ParseFleetFile(const std::string& file, const std::string& text, Findings& findings) {
  FleetFile fleet;
  const std::vector<YAML::Node> documents = LoadYamlDocuments(file, text, findings);
  if (documents.size() != 1) {
    findings.Add(Location{file},
                 fmt::format("expected one YAML document, found {}", documents.size()));
    return fleet;
  }
  YamlFields fields(file, documents.front(), "the fleet", findings);
  fields.Text("deployment", fleet.deployment, Presence::kRequired, CheckName);
  fields.Text("model", fleet.model, Presence::kRequired, CheckName);
  fields.Text("stream", fleet.stream, Presence::kRequired, CheckName);
  fields.Unsigned("staleness_bound", fleet.staleness_bound, 0, kMaxCount);
  fields.Unsigned("samples_per_step", fleet.samples_per_step, 1, kMaxCount);
  fields.Unsigned("max_tokens", fleet.max_tokens, 1, kMaxCount);
  fields.Time("train_time", fleet.train_time, Duration(0), kMaxTrainTime);
  fields.Double("completion_rate", fleet.completion_rate, 0, kMaxRate);
  fields.Text("link_control", fleet.link_control, Presence::kRequired, CheckIpAndPort);
  fields.TextList("zones", fleet.zones, CheckName);
  fleet.nodes = ReadList<FleetNode>(file, fields, "nodes", ReadNode, findings);
  fleet.engines = ReadList<FleetBackend>(file, fields, "engines", ReadBackend, findings);
  fleet.plain_servers =
      ReadList<FleetBackend>(file, fields, "plain_servers", ReadBackend, findings);
  fleet.traffic = ReadList<FleetTraffic>(file, fields, "traffic", ReadTraffic, findings);
  fields.Finish();
  return fleet;
}

}  // namespace millstair
