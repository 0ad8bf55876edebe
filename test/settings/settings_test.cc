#include "settings/settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "common/units.h"
#include "settings/settings_schema.h"
#include "settings/settings_table.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;

constexpr const char* kValidSettings = R"(node: c1
zone: z1
cluster: test
roles: [control, gateway]
peer:
  listen: 127.0.0.1:7001
http:
  listen: 127.0.0.1:8001
control_nodes:
  - {node: c1, address: "127.0.0.1:7001", zone: z1}
  - {node: c2, address: "127.0.0.1:7002", zone: z2}
data: /tmp/c1
timing:
  lease: 3s
limits:
  http_body: 1MiB
)";

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string FindingsOf(const std::string& text, const SettingOverrides& overrides = {}) {
  Findings findings;
  ReadSettings("f.yaml", text, overrides, findings);
  return findings.ToString();
}

TEST_CASE("A valid file sets values and leaves defaults") {
  Findings findings;
  const ServerSettings settings = ReadSettings("f.yaml", kValidSettings, {}, findings);
  CHECK(findings.ToString().empty());
  CHECK(settings.node == "c1");
  CHECK(settings.control);
  CHECK(settings.gateway);
  CHECK(settings.peer_address == "127.0.0.1:7001");
  CHECK(settings.founders == std::vector<std::string>{"c1", "c2"});
  REQUIRE(settings.control_nodes.size() == 2);
  CHECK(settings.control_nodes[1] == ControlNodeSetting{"c2", "127.0.0.1:7002", "z2"});
  CHECK(settings.timing.lease == std::chrono::seconds(3));
  CHECK(settings.timing.heartbeat == std::chrono::seconds(1));
  CHECK(settings.limits.http_body == 1024 * 1024);
}

TEST_CASE("Each address has at most one route") {
  const std::string valid = std::string(kValidSettings) + "routes: [\"127.0.0.1:1=127.0.0.2:2\"]\n";
  Findings findings;
  const ServerSettings settings = ReadSettings("f.yaml", valid, {}, findings);
  CHECK(findings.ToString().empty());
  CHECK(settings.routes.at("127.0.0.1:1") == "127.0.0.2:2");
  const std::string invalid =
      std::string(kValidSettings) +
      "routes: [nowhere, \"127.0.0.1:1=host:2\", \"127.0.0.1:1=127.0.0.2:2\", "
      "\"127.0.0.1:1=127.0.0.2:3\"]\n";
  findings = {};
  ReadSettings("f.yaml", invalid, {}, findings);
  REQUIRE(findings.items().size() == 3);
  CHECK(findings.items()[0].message == "\"nowhere\" is not of the form ip:port=ip:port");
  CHECK(findings.items()[2].message == "127.0.0.1:1 has two routes");
}

TEST_CASE("Control nodes are derived from seeds by IP address and peer port") {
  const std::string listed = std::string(kValidSettings)
                                 .substr(std::string(kValidSettings).find("control_nodes"),
                                         std::string(kValidSettings).find("data:") -
                                             std::string(kValidSettings).find("control_nodes"));
  const std::string seeds =
      Replaced(kValidSettings, listed, "seeds: [\"10.0.0.1:80\", \"10.0.0.2:80\"]\n");
  Findings findings;
  ServerSettings settings = ReadSettings("f.yaml", seeds, {}, findings);
  CHECK(findings.ToString().empty());
  REQUIRE(settings.control_nodes.size() == 2);
  CHECK(settings.control_nodes[0] == ControlNodeSetting{"10.0.0.1", "10.0.0.1:7001", ""});
  settings =
      ReadSettings("f.yaml", Replaced(seeds, "peer:\n", "peer:\n  seeds_port: 9\n"), {}, findings);
  CHECK(findings.ToString().empty());
  CHECK(settings.control_nodes[1] == ControlNodeSetting{"10.0.0.2", "10.0.0.2:9", ""});
  const std::string invalid = Replaced(seeds, "peer:\n", "peer:\n  seeds_port: 65536\n");
  CHECK(FindingsOf(invalid).find("f.yaml:6") != std::string::npos);
}

TEST_CASE("Flags override the file and suffice without one") {
  Findings findings;
  ServerSettings settings =
      ReadSettings("f.yaml", kValidSettings,
                   {{"timing.lease", "5s"}, {"roles", "gateway"}, {"zone", "z9"}}, findings);
  CHECK(findings.empty());
  CHECK(settings.timing.lease == std::chrono::seconds(5));
  CHECK_FALSE(settings.control);
  CHECK(settings.zone == "z9");

  settings = ReadSettings("", "",
                          {{"node", "g"},
                           {"zone", "z"},
                           {"cluster", "c"},
                           {"roles", "gateway"},
                           {"peer.listen", "127.0.0.1:1"},
                           {"http.listen", "127.0.0.1:2"},
                           {"control_nodes", "c1/127.0.0.1:3/z,c2/127.0.0.1:4/y"}},
                          findings);
  CHECK(findings.ToString().empty());
  REQUIRE(settings.control_nodes.size() == 2);
  CHECK(settings.control_nodes[1].zone == "y");
}

struct InvalidCase {
  std::string from;
  std::string to;
  std::string finding;
};

TEST_CASE("Each error is a finding with its location") {
  const std::vector<InvalidCase> cases = {
      {"zone: z1\n", "zone: z1\nzome: z2\n", "f.yaml:3:1: unknown key \"zome\""},
      {"  lease: 3s", "  leese: 3s", "f.yaml:14:3: unknown key \"timing.leese\""},
      {"zone: z1\n", "zone: z1\nzone: z2\n", "f.yaml:3:1: the key \"zone\" is set twice"},
      {"zone: z1\n", "", "f.yaml: the key \"zone\" is missing"},
      {"lease: 3s", "lease: 3", "f.yaml:14:10: \"3\" has no unit: expected us, ms, s, min or h"},
      {"lease: 3s", "lease: 3sec",
       "f.yaml:14:10: \"3sec\" has the wrong unit \"sec\": expected us, ms, s, min or h"},
      {"lease: 3s", "lease: 3MiB",
       "f.yaml:14:10: \"3MiB\" has the wrong unit \"MiB\": expected us, ms, s, min or h"},
      {"lease: 3s", "lease: soon",
       "f.yaml:14:10: \"soon\" is not a duration: expected a number with unit us, ms, s, min or h"},
      {"lease: 3s", "lease: 100h",
       "f.yaml:14:10: 100h is out of bounds for \"timing.lease\": 50ms to 10min"},
      {"http_body: 1MiB", "http_body: 1MB",
       "f.yaml:16:14: \"1MB\" has the wrong unit \"MB\": expected B, KiB, MiB or GiB"},
      {"http_body: 1MiB", "http_connections: 5s",
       "f.yaml:16:21: \"5s\" is not a whole number without a unit"},
      {"listen: 127.0.0.1:8001", "listen: localhost:8001",
       "f.yaml:8:11: \"localhost\" in \"localhost:8001\" is not an IP number"},
      {"listen: 127.0.0.1:8001", "listen: 127.0.0.1",
       "f.yaml:8:11: \"127.0.0.1\" is not of the form ip:port"},
      {"listen: 127.0.0.1:8001", "listen: 127.0.0.1:7001",
       "f.yaml:8:11: 127.0.0.1:7001 is used by two listeners"},
      {"node: c2", "node: c1", "f.yaml:11:12: \"c1\" is listed twice"},
      {"address: \"127.0.0.1:7002\"", "address: \"127.0.0.1:7001\"",
       "f.yaml:11:25: 127.0.0.1:7001 is listed twice"},
      {"address: \"127.0.0.1:7002\", ", "",
       "f.yaml:11:5: the key \"control_nodes.address\" is missing"},
      {"node: c2,", "node: c2, port: 7,", "f.yaml:11:16: unknown key \"control_nodes.port\""},
      {"node: c1\n", "node: c9\n", "f.yaml:10:3: the control node \"c9\" is not listed itself"},
      {"data: /tmp/c1\n", "", "f.yaml: a control node needs the key \"data\""},
      {"data: /tmp/c1\n", "data: /tmp/c1\nfounders: [c1, c3]\n",
       "f.yaml:13:11: the founder \"c3\" is not in \"control_nodes\""},
      {"data: /tmp/c1\n", "data: /tmp/c1\nfounders: [c1, c1]\n",
       "f.yaml:13:16: \"c1\" is listed twice"},
      {"[control, gateway]", "[control, router]",
       "f.yaml:4:18: \"router\" is none of control, gateway, storage"},
      {"[control, gateway]", "control", "f.yaml:4:8: \"roles\" has to be a list of roles"},
      {"  listen: 127.0.0.1:7001", "  listen: 0.0.0.0:7001",
       "f.yaml:6:11: other nodes can't reach 0.0.0.0:7001: set \"peer.address\""},
      {"lease: 3s", "lease: 1s",
       "f.yaml:14:10: \"timing.source_timeout\" (1500ms) has to be less than \"timing.lease\" "
       "(1s)"},
  };
  for (const InvalidCase& invalid : cases) {
    INFO(invalid.finding);
    const std::string findings = FindingsOf(Replaced(kValidSettings, invalid.from, invalid.to));
    CHECK(findings.find(invalid.finding + "\n") != std::string::npos);
  }
}

TEST_CASE("All errors are reported at once, and those of flags name the flag") {
  const std::string findings = FindingsOf(
      "node: a b\nroles: [x]\npeer: 7\ntiming: {lease: 1}\n",
      {{"http.listen", "here"}, {"control_nodes", "c1/127.0.0.1:1"}, {"log.level", "loud"}});
  for (const char* expected :
       {"f.yaml:1:7: \"a b\" is not a name", "f.yaml:2:9: \"x\" is none of",
        "f.yaml:3:7: \"peer\" has to be a map", "f.yaml:4:17: \"1\" has no unit",
        "--http-listen: \"here\" is not of the form ip:port",
        "--control-nodes: \"c1/127.0.0.1:1\" is not of the form node/ip:port/zone",
        "--log-level: \"loud\" is none of debug, info, warning, error", "\"zone\" is missing"}) {
    INFO(expected);
    CHECK(findings.find(expected) != std::string::npos);
  }
}

TEST_CASE("Invalid YAML is a finding with its location") {
  CHECK(FindingsOf("node: [a\nzone: b\n").substr(0, 7) == "f.yaml:");
  CHECK(FindingsOf("- a\n- b\n").substr(0, 11) == "f.yaml:1:1:");
}

TEST_CASE("Random mutations of a valid file do not crash the parser") {
  std::mt19937_64 random(20261204);
  const std::string marks = "[]{}:,-&*!|>'\"%@`# \n\t0a";
  for (int round = 0; round < 3000; ++round) {
    std::string text = kValidSettings;
    for (uint64_t change = 1 + random() % 5; change > 0; --change) {
      const size_t location = random() % text.size();
      if (random() % 2 == 0) {
        text[location] = marks[random() % marks.size()];
      } else {
        text.erase(location, 1 + random() % 8);
      }
      if (text.empty()) text = "x";
    }
    Findings findings;
    ReadSettings("f.yaml", text, {}, findings);
    for (const Finding& finding : findings.items()) CHECK_FALSE(finding.message.empty());
  }
}

TEST_CASE("Values with units are parsed exactly") {
  CHECK(*ParseDuration("250ms") == milliseconds(250));
  CHECK(*ParseDuration("1.5s") == milliseconds(1500));
  CHECK(*ParseDuration("2min") == std::chrono::minutes(2));
  CHECK_FALSE(ParseDuration("-1s").ok());
  CHECK_FALSE(ParseDuration("1e3s").ok());
  CHECK_FALSE(ParseDuration("").ok());
  CHECK(*ParseSize("64MiB") == 64ULL << 20);
  CHECK_FALSE(ParseSize("0.3B").ok());
  CHECK_FALSE(ParseSize("9999999999GiB").ok());
  CHECK_FALSE(ParseCount("1.5").ok());
  CHECK(FormatDuration(milliseconds(1500)) == "1500ms");
  CHECK(FormatSize(3 << 20) == "3MiB");
}

TEST_CASE("Overload control is on by itself only where a zone may be lost") {
  ServerSettings settings;
  CHECK_FALSE(settings.ControlsAdmission());
  CHECK_FALSE(settings.SharesSteps());
  settings.tolerated_zones = 1;
  CHECK(settings.ControlsAdmission());
  CHECK(settings.SharesSteps());
  settings.overload_admission = "off";
  CHECK_FALSE(settings.ControlsAdmission());
  settings.tolerated_zones = 0;
  settings.overload_step_sharing = "on";
  CHECK(settings.SharesSteps());
}

TEST_CASE("Servers are ordered only where the settings and the platform ask for it") {
  ServerSettings settings;
  settings.tolerated_zones = 1;
  CHECK_FALSE(settings.ScalesPools());
  settings.scaling_platform = "10.0.0.1:80";
  CHECK(settings.ScalesPools());
  settings.scaling_duties = {"usage"};
  CHECK_FALSE(settings.ScalesPools());
  settings.scaling_duties = {"usage", "autoscale"};
  CHECK(settings.ScalesPools());
  settings.overload_step_sharing = "off";
  CHECK_FALSE(settings.ScalesPools());
  settings.overload_step_sharing = "auto";
  settings.overload_pool_scaling = "off";
  CHECK_FALSE(settings.ScalesPools());
  settings.tolerated_zones = 0;
  settings.overload_pool_scaling = "auto";
  CHECK_FALSE(settings.ScalesPools());
}

TEST_CASE("An empty list of duties is not taken for the default, which orders servers") {
  const std::string valid = std::string(kValidSettings) +
                            "replication:\n  tolerate_zones: 1\nscaling:\n"
                            "  platform: 127.0.0.1:9\n  duties: [";
  Findings findings;
  CHECK_FALSE(ReadSettings("f.yaml", valid + "]\n", {}, findings).ScalesPools());
  CHECK_FALSE(ReadSettings("f.yaml", valid + "\"usage\"]\n", {}, findings).ScalesPools());
  CHECK(ReadSettings("f.yaml", valid + "\"usage\",\"autoscale\"]\n", {}, findings).ScalesPools());
  // A duty that this build does not know is no reason not to start.
  const std::string unknown = valid + "\"new duty\",\"autoscale\"]\n";
  CHECK(ReadSettings("f.yaml", unknown, {}, findings).ScalesPools());
  CHECK(findings.ToString().empty());
}

TEST_CASE("Orders of servers that cannot work are reported") {
  const std::string on = std::string(kValidSettings) + "overload:\n  pool_scaling: on\n";
  CHECK(FindingsOf(on).find("needs the key \"scaling.platform\"") != std::string::npos);
  CHECK(FindingsOf(on).find("needs \"overload.step_sharing\" to be on") != std::string::npos);
  CHECK(FindingsOf(on + "  step_sharing: on\nscaling:\n  platform: 127.0.0.1:9\n").empty());
  CHECK_FALSE(FindingsOf(std::string(kValidSettings) + "scaling:\n  platform: here\n").empty());
}

TEST_CASE("docs/CONFIGURATION.md matches the schema") {
  std::ifstream file(std::string(MILLSTAIR_SOURCE_DIR) + "/docs/CONFIGURATION.md");
  std::stringstream page;
  page << file.rdbuf();
  CHECK(page.str().find(SettingsTable()) != std::string::npos);
}

TEST_CASE("Defaults are within bounds, and flags are unique") {
  std::set<std::string> flags;
  ServerSettings defaults;
  for (const SettingKey& key : SettingKeys()) {
    INFO(key.key);
    CHECK(flags.insert(FlagName(key.key)).second);
    if (key.max == 0) continue;
    const uint64_t value =
        key.duration ? static_cast<uint64_t>(key.duration(defaults).count()) : key.number(defaults);
    CHECK(value >= key.min);
    CHECK(value <= key.max);
  }
}

}  // namespace
}  // namespace millstair
