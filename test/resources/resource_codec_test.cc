#include "resources/resource_codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <random>

#include "resources/resource_names.h"
#include "resources/resource_references.h"
#include "resources/scalar_text.h"

namespace millstair {
namespace {

std::vector<std::string> MessagesOf(const std::string& text) {
  Findings findings;
  ParseResources("f.yaml", text, findings);
  std::vector<std::string> messages;
  for (const Finding& finding : findings.items()) messages.push_back(finding.ToString());
  return messages;
}

TEST_CASE("a resource is parsed with labels, units and defaults") {
  Findings findings;
  const auto resources = ParseResources("f.yaml", R"(
kind: TrafficGroup
name: booking
labels: {service: booking}
spec:
  hosts: [booking.khosa.example]
  path_prefix: /book
  repeatable: false
  deadline: 1500ms
---
kind: Model
name: caption
spec: {weight_store: "127.0.0.1:9000", store_bytes_per_second: 400MiB, version_bytes: 1GiB}
)",
                                        findings);
  INFO(findings.ToString());
  REQUIRE(findings.empty());
  REQUIRE(resources.size() == 2);
  const auto& group = std::get<TrafficGroupSpec>(resources[0].resource.spec);
  REQUIRE(resources[0].resource.labels == Labels{{"service", "booking"}});
  REQUIRE(resources[0].location == Location{"f.yaml", 2, 1});
  REQUIRE(group.deadline == std::chrono::milliseconds(1500));
  REQUIRE_FALSE(group.repeatable);
  REQUIRE(group.max_concurrent == TrafficGroupSpec{}.max_concurrent);
  const auto& model = std::get<ModelSpec>(resources[1].resource.spec);
  REQUIRE(model.store_bytes_per_second == 400ULL << 20U);
  REQUIRE(model.version_bytes == 1ULL << 30U);
}

TEST_CASE("all errors are reported at once with their locations") {
  const std::vector<std::string> messages = MessagesOf(R"(kind: Machine
name: m1
spec:
  zon: a
  address: host.example
---
kind: TrafficGroup
name: g
spec:
  deadline: 30
  hedge_after: 3x
  priority: 9
  repeatable: maybe
---
kind: Fleet
name: x
spec: {}
)");
  REQUIRE(messages ==
          std::vector<std::string>{
              "f.yaml:4:3: spec lacks the key 'zone'", "f.yaml:4:3: unknown key 'zon' in spec",
              "f.yaml:5:12: 'address': 'host.example' is not an IP number (host names are not "
              "resolved)",
              "f.yaml:10:13: 'deadline': \"30\" has no unit: expected us, ms, s, min or h",
              "f.yaml:11:16: 'hedge_after': \"3x\" has the wrong unit \"x\": expected us, ms, "
              "s, min or h",
              "f.yaml:12:13: 'priority' is 9, out of bounds 1..3",
              "f.yaml:13:15: 'repeatable' must be true or false, not 'maybe'",
              "f.yaml:15:7: 'kind': unknown kind 'Fleet' (one of Machine, Engine, Model, Adapter, "
              "Pool, Stream, TrafficGroup, Match)"});
}

TEST_CASE("a duplicate resource or key is a finding") {
  REQUIRE(MessagesOf("kind: Match\nname: a\nname: b\nspec: {}\n") ==
          std::vector<std::string>{"f.yaml:3:1: key 'name' stands twice in the resource"});
  REQUIRE(MessagesOf("{kind: Match, name: a, spec: {}}\n---\n{kind: Match, name: a, spec: {}}\n") ==
          std::vector<std::string>{"f.yaml:3:1: Match 'a' stands twice, first at f.yaml:1:1"});
}

TEST_CASE("invalid YAML is a finding with its location") {
  const std::vector<std::string> messages = MessagesOf("kind: Match\nname: [a\n");
  REQUIRE(messages.size() == 1);
  REQUIRE(messages[0].rfind("f.yaml:3:1: ", 0) == 0);
}

TEST_CASE("a parser without progress is a finding, not an endless stream of documents") {
  // yaml-cpp 0.7 never gets past the comma.
  REQUIRE(MessagesOf("{kind: Match},\n") ==
          std::vector<std::string>{"f.yaml:1:14: unexpected token"});
}

TEST_CASE("addresses must be IP addresses with ports") {
  REQUIRE(CheckIpAndPort("127.0.0.1:80").ok());
  REQUIRE(CheckIpAndPort("[::1]:80").ok());
  for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                           "127.0.0.1:80x", ":80", "300.0.0.1:80"}) {
    INFO(text);
    REQUIRE_FALSE(CheckIpAndPort(text).ok());
  }
}

TEST_CASE("selectors match by labels and expressions") {
  const Labels labels = {{"zone", "a"}, {"gpu", "h100"}};
  REQUIRE(Matches(Selector{}, labels));
  REQUIRE(Matches(Selector{{{"zone", "a"}}, {}}, labels));
  REQUIRE_FALSE(Matches(Selector{{{"zone", "b"}}, {}}, labels));
  const auto expression = [](std::string key, SelectorOperator op,
                             std::vector<std::string> values) {
    return Selector{{}, {SelectorRequirement{std::move(key), op, std::move(values)}}};
  };
  REQUIRE(Matches(expression("zone", SelectorOperator::kIn, {"a", "b"}), labels));
  REQUIRE_FALSE(Matches(expression("none", SelectorOperator::kIn, {"a"}), labels));
  REQUIRE(Matches(expression("none", SelectorOperator::kNotIn, {"a"}), labels));
  REQUIRE_FALSE(Matches(expression("zone", SelectorOperator::kNotIn, {"a"}), labels));
  REQUIRE(Matches(expression("gpu", SelectorOperator::kExists, {}), labels));
  REQUIRE_FALSE(Matches(expression("gpu", SelectorOperator::kDoesNotExist, {}), labels));
}

TEST_CASE("dangling references are warnings") {
  Findings findings;
  const auto resources = ParseResources("f.yaml", R"(
{kind: Engine, name: e, spec: {machine: m, address: "127.0.0.1:1"}}
---
{kind: Match, name: t, spec: {engines: {match_labels: {a: b}}}}
)",
                                        findings);
  REQUIRE(findings.empty());
  const Findings warnings = DanglingReferences(resources);
  REQUIRE(warnings.ToString() ==
          "f.yaml:2:1: Engine 'e' refers to Machine 'm', which is not in these files\n"
          "f.yaml:4:1: Match 't' matches no engines in these files\n");
}

std::string AnyWord() {
  return *rc::gen::map(rc::gen::container<std::string>(rc::gen::elementOf(
                           std::string("abcdefghijklmnopqrstuvwxyzABCXYZ0123456789._-"))),
                       [](const std::string& tail) { return "w" + tail.substr(0, 40); });
}

Labels AnyLabels() {
  Labels labels;
  const int count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) labels[AnyWord()] = *rc::gen::arbitrary<bool>() ? AnyWord() : "";
  return labels;
}

Selector AnySelector() {
  Selector selector{AnyLabels(), {}};
  const int count = *rc::gen::inRange(0, 3);
  for (int i = 0; i < count; ++i) {
    const auto op = static_cast<SelectorOperator>(*rc::gen::inRange(0, 4));
    SelectorRequirement requirement{AnyWord(), op, {}};
    if (op == SelectorOperator::kIn || op == SelectorOperator::kNotIn) {
      requirement.values = {AnyWord(), "null", "true"};
    }
    selector.match_expressions.push_back(requirement);
  }
  return selector;
}

double AnyShare() { return *rc::gen::inRange(0, 1'000'001) / 1'000'000.0; }

ResourceSpec AnySpec(ResourceKind kind) {
  const std::string word = AnyWord();
  const auto number = *rc::gen::inRange<uint32_t>(1, 1'000'000);
  const bool flag = *rc::gen::arbitrary<bool>();
  const std::string address = "127.0.0.1:" + std::to_string(number % 65'535 + 1);
  switch (kind) {
    case ResourceKind::kMachine:
      return MachineSpec{Zone(word), "127.1.2.3", flag};
    case ResourceKind::kEngine:
      return EngineSpec{flag ? EngineType::kHttp : EngineType::kModel, word, address, flag};
    case ResourceKind::kModel:
      return ModelSpec{address, number * 1024ULL, number, AnyShare()};
    case ResourceKind::kAdapter:
      return AdapterSpec{ModelName(word), WeightDigest("d1"), "a b/\"c\"\\: {d}"};
    case ResourceKind::kPool:
      return PoolSpec{ModelName(word), AnyShare() + 0.001, number};
    case ResourceKind::kStream:
      return StreamSpec{word, number, AnyShare(), number, flag ? address : ""};
    case ResourceKind::kTrafficGroup:
      return TrafficGroupSpec{
          flag ? std::vector<std::string>{"a.example", "b"} : std::vector<std::string>{},
          "/" + word,
          ModelName(flag ? word : ""),
          flag,
          number % 3 + 1,
          number,
          number - 1,
          Duration(number * 1000),
          !flag,
          Duration(number)};
    case ResourceKind::kMatch: {
      MatchSpec spec;
      if (flag) spec.workloads = AnySelector();
      spec.models = AnySelector();
      if (!flag) spec.engines = AnySelector();
      return spec;
    }
  }
  return MachineSpec{};
}

TEST_CASE("every resource round-trips through YAML and JSON") {
  rc::prop("round trip", [] {
    const auto kind = static_cast<ResourceKind>(*rc::gen::inRange(0, 8));
    Resource resource{AnyWord(), AnyLabels(), AnySpec(kind),
                      Revision(*rc::gen::arbitrary<uint64_t>())};
    Findings findings;
    const auto read = ParseResources("f", ToYaml(resource), findings);
    RC_LOG() << ToYaml(resource) << findings.ToString();
    RC_ASSERT(findings.empty());
    RC_ASSERT(read.size() == 1U);
    RC_ASSERT(read[0].resource == resource);
    const auto from_json = ResourceFromJson(ToJson(resource));
    RC_LOG() << from_json.status().ToString();
    RC_ASSERT(from_json.ok());
    RC_ASSERT(*from_json == resource);
  });
}

TEST_CASE("mutated input yields findings or resources, never a crash") {
  const std::string valid = R"(kind: Match
name: match-1
labels: {a: b}
spec:
  workloads: {match_labels: {service: live}}
  engines:
    match_expressions:
      - {key: zone, operator: In, values: [a, b]}
---
{"kind": "Stream", "name": "s", "spec": {"pool": "p", "idle_time_weight": 0.9}}
)";
  const std::string alphabet = "{}[]:,-&*!|>'\"%@`#?\n \t\\0a~<";
  std::mt19937 random(7);
  int sound_count = 0;
  constexpr int kRounds = 3000;
  for (int round = 0; round < kRounds; ++round) {
    std::string text = valid;
    const size_t edits = 1 + random() % 4;
    for (size_t i = 0; i < edits; ++i) {
      const size_t at = random() % text.size();
      if (random() % 3 == 0) {
        text.erase(at, 1 + random() % 8);
      } else {
        text[at] = alphabet[random() % alphabet.size()];
      }
      if (text.empty()) text = " ";
    }
    Findings findings;
    INFO(text);
    ParseResources("f", text, findings);
    if (findings.empty()) ++sound_count;
    for (const Finding& finding : findings.items()) REQUIRE_FALSE(finding.message.empty());
  }
  REQUIRE(sound_count < kRounds / 2);
}

}  // namespace
}  // namespace millstair
