#include "bench/demo/truth_reader.h"

#include <charconv>
#include <map>
#include <optional>

#include "boost/json.hpp"
#include "emulator/model/generated_text.h"
#include "fmt/format.h"

namespace millstair {
namespace {

namespace json = boost::json;

constexpr Duration kTruthTimeout = std::chrono::seconds(20);
constexpr Duration kPollInterval = std::chrono::milliseconds(200);
constexpr int kHexBase = 16;
using PromptsByHash = std::map<uint64_t, std::string>;

PromptsByHash HashPrompts(const checks::History& history) {
  PromptsByHash prompts;
  for (const checks::StepPut& step : history.steps) {
    for (const checks::StepPut::Prompt& prompt : step.prompts) {
      prompts[SeedOf(prompt.text).value] = prompt.text;
    }
  }
  for (const checks::CallAttempt& call : history.calls) {
    if (!call.prompt.empty()) prompts[SeedOf(call.prompt).value] = call.prompt;
  }
  return prompts;
}

std::optional<json::object> FetchTruth(DemoRun& run, const std::string& address,
                                       const std::string& query) {
  const BlockingReply reply = CallJson(run, address, "GET", "/truth" + query, "", kTruthTimeout);
  json::error_code error;
  json::value page = json::parse(reply.body, error);
  if (!reply.complete() || error || !page.is_object()) return std::nullopt;
  return std::move(page.get_object());
}

uint64_t HexNumber(std::string_view text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, kHexBase);
  return number;
}

void AddGenerated(const json::object& record, const std::string& engine,
                  const PromptsByHash& prompts, checks::History& history) {
  const std::string hash(record.at("prompt").get_string());
  const auto prompt = prompts.find(HexNumber(hash));
  for (const json::value& item : record.at("spans").get_array()) {
    const json::object& span = item.get_object();
    history.generated.push_back(
        {EngineName(engine), Incarnation(span.at("engine_incarnation").to_number<uint64_t>()),
         prompt == prompts.end() ? "unknown prompt " + hash : prompt->second,
         span.at("first_token").to_number<uint32_t>(), span.at("token_count").to_number<uint32_t>(),
         WeightVersion(span.at("version").to_number<uint64_t>()),
         WeightDigest(std::string(span.at("digest").get_string()))});
  }
}

/// Attempts by idempotency key.
using AttemptsByKey = std::map<std::string, std::vector<const checks::CallAttempt*>>;

AttemptsByKey GroupAttempts(const checks::History& history) {
  AttemptsByKey attempts;
  for (const checks::CallAttempt& call : history.calls) {
    if (!call.key.empty()) attempts[call.key].push_back(&call);
  }
  return attempts;
}

/// Back ends count executions per key, not per attempt. Attributes an execution to the first
/// attempt that was not reported as "not-run", or to the first attempt if all were.
std::string ExecutedAttemptId(const AttemptsByKey& attempts, const std::string& key) {
  const auto found = attempts.find(key);
  if (found == attempts.end()) return "";
  for (const checks::CallAttempt* call : found->second) {
    if (call->outcome != checks::ClaimedOutcome::kNotRun) return call->attempt_id;
  }
  return found->second.front()->attempt_id;
}

void AddExecutions(const json::object& page, const std::string& server,
                   const AttemptsByKey& attempts, checks::History& history) {
  for (const json::value& item : page.at("executions").get_array()) {
    const json::object& entry = item.get_object();
    const std::string path(entry.at("path").get_string());
    const std::string key(entry.at("key").get_string());
    // The path of a page ends with the attempt id, that of a booking with its key.
    const std::string last = path.substr(path.rfind('/') + 1);
    const std::string attempt_id = key.empty() ? last : ExecutedAttemptId(attempts, key);
    const auto count = entry.at("count").to_number<uint64_t>();
    for (uint64_t i = 0; i < count; ++i) {
      history.executions.push_back({EngineName(server), attempt_id, key, Duration(0)});
    }
  }
}

}  // namespace

bool ReadTruth(DemoRun& run, checks::History& history, std::string& error) {
  const PromptsByHash prompts = HashPrompts(history);
  for (const FleetBackend& engine : run.fleet().engines) {
    const std::optional<json::object> page = FetchTruth(run, engine.address, "");
    if (!page) {
      error = fmt::format("engine {} did not return a valid /truth page", engine.name);
      return false;
    }
    for (const json::value& record : page->at("records").get_array()) {
      AddGenerated(record.get_object(), engine.name, prompts, history);
    }
  }
  const AttemptsByKey attempts = GroupAttempts(history);
  for (const FleetBackend& server : run.fleet().plain_servers) {
    const std::optional<json::object> page = FetchTruth(run, server.address, "");
    if (!page) {
      error = fmt::format("server {} did not return a valid /truth page", server.name);
      return false;
    }
    AddExecutions(*page, server.name, attempts, history);
  }
  return true;
}

void WatchLeavingEngine(DemoRun& run, const FleetBackend& engine) {
  std::optional<uint64_t> last;
  while (!run.stopping()) {
    const std::optional<json::object> page = FetchTruth(run, engine.address, "?counts=1");
    if (page) {
      const json::object& counts = page->at("counts").get_object();
      const uint64_t arrived =
          counts.at("accepted").to_number<uint64_t>() + counts.at("refused").to_number<uint64_t>();
      if (last && arrived > *last) {
        run.Record([&](checks::History& history) {
          history.arrivals.push_back({EngineName(engine.name), run.clock().Now(),
                                      fmt::format("{} requests", arrived - *last)});
        });
      }
      last = arrived;
    }
    run.Sleep(kPollInterval);
  }
}

}  // namespace millstair
