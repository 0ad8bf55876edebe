/// Seeded fuzzing of the parsers of the platform's interface: mutated valid inputs must not crash
/// or hang a parser, or be accepted if they break its rules. MILLSTAIR_FUZZ_EXECUTIONS overrides
/// kExecutions.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "cluster/backend_instance_id.h"
#include "common/random.h"
#include "platform/instance_codec.h"
#include "platform/job_json.h"
#include "platform/routing_codec.h"
#include "platform/server_protocol.h"
#include "runtime/endpoint.h"

namespace millstair::platform {
namespace {

/// Mutated inputs for each parser.
constexpr size_t kExecutions = 20'000;

size_t Executions() {
  const char* wanted = std::getenv("MILLSTAIR_FUZZ_EXECUTIONS");
  return wanted == nullptr ? kExecutions : std::strtoull(wanted, nullptr, 10);
}

/// Valid inputs of one kind; each corpus file holds one.
std::vector<std::string> CorpusOf(const std::string& kind) {
  std::vector<std::string> texts;
  const std::filesystem::path folder =
      std::filesystem::path(MILLSTAIR_SOURCE_DIR) / "test/platform/corpus" / kind;
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  for (const auto& file : files) {
    std::ifstream stream(file, std::ios::binary);
    texts.emplace_back(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
  }
  return texts;
}

/// Mutates bytes, duplicates, removes or splices ranges, and inserts typical edge-case values.
class Mutator {
 public:
  Mutator(uint64_t seed, std::vector<std::string> corpus)
      : random_(seed), corpus_(std::move(corpus)) {}

  std::string Next() {
    std::string text = Any(corpus_);
    const size_t changes = 1 + DrawBelow(random_, 4);
    for (size_t i = 0; i < changes; ++i) Change(text);
    return text;
  }

 private:
  const std::string& Any(const std::vector<std::string>& texts) {
    return texts[DrawBelow(random_, texts.size())];
  }

  void Change(std::string& text) {
    static const std::vector<std::string> kValues = {"null",
                                                     "true",
                                                     "-1",
                                                     "1e400",
                                                     "18446744073709551616",
                                                     "1.5",
                                                     "\"\"",
                                                     "[]",
                                                     "{}",
                                                     "[[[",
                                                     "\\u0000",
                                                     "\"\xff\xfe\"",
                                                     "\"a\\ud800\"",
                                                     "9223372036854775808",
                                                     "\r\n\r\n",
                                                     ":",
                                                     "@",
                                                     "0.0.0.0:0"};
    if (text.empty()) text = Any(corpus_);
    const size_t at = DrawBelow(random_, text.size());
    const size_t length = 1 + DrawBelow(random_, std::min<size_t>(text.size() - at, 24));
    switch (DrawBelow(random_, 6)) {
      case 0:
        text[at] = static_cast<char>(DrawBelow(random_, 256));
        return;
      case 1:
        text.erase(at, length);
        return;
      case 2:
        text.insert(at, text.substr(at, length));
        return;
      case 3:
        text.replace(at, length, Any(kValues));
        return;
      case 4:
        text.resize(at);
        return;
      default: {
        const std::string& other = Any(corpus_);
        text.insert(at, other.substr(DrawBelow(random_, other.size()), length));
      }
    }
  }

  RandomEngine random_;
  const std::vector<std::string> corpus_;
};

/// Calls `check` with mutated inputs of `kind`.
template <class Check>
void Fuzz(const std::string& kind, Check check) {
  Mutator mutator(std::hash<std::string>()(kind), CorpusOf(kind));
  const size_t executions = Executions();
  for (size_t i = 0; i < executions; ++i) check(mutator.Next());
  SUCCEED(kind);
}

/// Reports only failures to Catch2, whose assertions are slow.
void Demand(bool holds, const std::string& text) {
  if (holds) return;
  INFO(text);
  CHECK(holds);
}

TEST_CASE("Mutated heartbeats are rejected or describe a usable server") {
  Fuzz("heartbeat", [](const std::string& text) {
    const auto beat = ReadHeartbeat("i-1", text);
    if (!beat.ok()) return;
    Demand(ServerNameOf(beat->id) == ServerName("i-1"), text);
    Demand(!beat->service.value().empty(), text);
    Demand(ParseEndpoint(beat->address).ok(), text);
    Demand(beat->state == MemberState::kLive || beat->state == MemberState::kLeaving, text);
  });
}

TEST_CASE("Mutated deregistrations are rejected or apply to the named server") {
  Fuzz("deregistration", [](const std::string& text) {
    const auto leaving = ReadDeregistration("i-1", text);
    if (leaving.ok()) Demand(leaving->state == MemberState::kGone, text);
  });
}

TEST_CASE("Mutated routing documents are rejected or consistent") {
  Fuzz("routing", [](const std::string& text) {
    const auto table = RoutingCodec().Read(text);
    if (!table.ok()) return;
    Findings findings;
    ValidateRouteTable(*table, findings);
    if (!findings.empty()) return;
    for (const Route& route : table->routes) {
      Demand(!route.services.empty(), text);
      for (const ServiceShare& share : route.services) {
        Demand(table->FindService(share.service) != nullptr, text);
      }
    }
  });
}

TEST_CASE("Mutated engine reports are rejected or parsed") {
  Fuzz("report", [](const std::string& text) {
    const auto report = ServerProtocol().ReadReport(text);
    if (!report.ok()) return;
    for (const NamedVersion& held : report->models) {
      Demand(!held.model.value().empty(), text);
    }
  });
}

TEST_CASE("Mutated stream events are rejected or parsed") {
  Fuzz("event", [](const std::string& text) { (void)ServerProtocol().ReadEvent(text); });
}

TEST_CASE("Mutated batch jobs are rejected or have distinct items") {
  Fuzz("job", [](const std::string& text) {
    const auto job = ReadJob("j", "h", "/p", text);
    if (!job.ok()) return;
    std::set<ItemId> items;
    for (const JobItem& item : job->items) Demand(items.insert(item.id).second, text);
  });
}

}  // namespace
}  // namespace millstair::platform
