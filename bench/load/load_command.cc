#include "bench/load/load_command.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <sstream>

#include "bench/load/latency_histogram.h"
#include "bench/load/live_call.h"
#include "bench/load/open_loop.h"
#include "bench/load/trace.h"
#include "ctl/table.h"
#include "fmt/format.h"
#include "fmt/ostream.h"
#include "simulator/checks/call_checks.h"

namespace millstair {
namespace {

namespace po = boost::program_options;
using checks::CallAttempt;
using checks::CallEnd;
using checks::CallKind;

constexpr int kCheckFailed = 1;
constexpr int kUsageError = 2;

struct LoadOptions {
  std::vector<std::string> gateways;
  std::vector<TraceCall> calls;
  std::string model;
  int threads = 64;
  uint64_t seed = 1;
  Duration timeout = std::chrono::seconds(30);
};

/// A trace of completions at a constant average rate.
std::vector<TraceCall> SteadyTrace(double rate, Duration length, uint32_t max_tokens,
                                   uint64_t seed) {
  constexpr uint32_t kPromptTokens = 64;
  std::vector<TraceCall> calls;
  for (const Duration at : PoissonArrivals(rate, Duration(0), length, seed)) {
    calls.push_back({at, CallKind::kCompletion, "", "", kPromptTokens, max_tokens, 0});
  }
  return calls;
}

std::string PromptOf(uint64_t seed, size_t index, uint32_t tokens) {
  // Prompts of one group share a prefix, so that prefix caching has an effect.
  constexpr size_t kGroups = 8;
  std::string prompt;
  for (uint32_t i = 1; i < tokens; ++i) {
    prompt += fmt::format("shared{}word{} ", index % kGroups, i);
  }
  return prompt + fmt::format("call{}x{}", seed, index);
}

LiveCall MakeCall(const LoadOptions& options, const TraceCall& recorded, size_t index) {
  LiveCall call;
  call.kind = recorded.kind;
  call.attempt_id = fmt::format("load-{}-{}", options.seed, index);
  call.host = recorded.host;
  call.path = recorded.path;
  call.priority = recorded.priority;
  call.timeout = options.timeout;
  if (recorded.kind == CallKind::kCompletion) {
    call.model = options.model;
    call.prompt = PromptOf(options.seed, index, std::max(recorded.prompt_tokens, 1U));
    call.max_tokens = recorded.max_tokens;
  }
  if (recorded.kind == CallKind::kBooking) {
    call.key = call.attempt_id;
    call.body = "{\"order\":\"" + call.attempt_id + "\"}";
  }
  return call;
}

class LoadRun {
 public:
  explicit LoadRun(LoadOptions options) : options_(std::move(options)) {}

  void Run() {
    std::vector<Duration> due;
    for (const TraceCall& call : options_.calls) due.push_back(call.at);
    RunOpenLoop(
        clock_, due, options_.threads, [&](size_t index) { SendScheduledCall(index, due[index]); },
        [] { return false; });
  }

  /// Prints the report; true if no response was wrong or truncated.
  bool Report() const;

 private:
  void SendScheduledCall(size_t index, Duration due) {
    const std::string& address = options_.gateways[index % options_.gateways.size()];
    CallAttempt record = SendCall(client_, {address, address},
                                  MakeCall(options_, options_.calls[index], index), clock_);
    if (record.end == CallEnd::kComplete) latency_.Add(*record.ended - due);
    const std::lock_guard<std::mutex> lock(mutex_);
    history_.calls.push_back(std::move(record));
  }

  LoadOptions options_;
  RunClock clock_;
  BlockingClient client_;
  LatencyHistogram latency_;
  std::mutex mutex_;
  checks::History history_;
};

bool LoadRun::Report() const {
  std::map<std::string, uint64_t> ends;
  for (const CallAttempt& call : history_.calls) {
    static constexpr std::array<const char*, 5> kEndNames = {"complete", "refused", "cut",
                                                             "unanswered", "abandoned"};
    ++ends[kEndNames.at(static_cast<size_t>(call.end))];
  }
  Table table({"calls", "complete", "refused", "cut", "unanswered", "p50 ms", "p90 ms", "p99 ms",
               "max ms"});
  const auto milliseconds = [](Duration time) {
    return fmt::format("{:.1f}", static_cast<double>(time.count()) / 1000.0);
  };
  table.Add({std::to_string(history_.calls.size()), std::to_string(ends["complete"]),
             std::to_string(ends["refused"]), std::to_string(ends["cut"]),
             std::to_string(ends["unanswered"]), milliseconds(latency_.Quantile(0.5)),
             milliseconds(latency_.Quantile(0.9)), milliseconds(latency_.Quantile(0.99)),
             milliseconds(latency_.Largest())});
  fmt::print("{}", table.ToString());
  bool passed = ends["cut"] == 0;
  for (const checks::CheckResult& check : {checks::CheckCompleteOwnAnswer(history_, EngineOracle()),
                                           checks::CheckOutcomeStated(history_)}) {
    fmt::print("{}: tried {}, broken {} {}\n", check.name, check.tried, check.broken,
               check.first_example);
    passed = passed && check.broken == 0;
  }
  return passed;
}

po::options_description Describe() {
  po::options_description description("millstair-bench load");
  auto add = description.add_options();
  add("help", "print this help");
  add("gateway", po::value<std::vector<std::string>>(), "ip:port of a gateway; may be repeated");
  add("model", po::value<std::string>()->default_value(""), "model of the completions");
  add("rate", po::value<double>()->default_value(20), "completions per second");
  add("seconds", po::value<uint32_t>()->default_value(10), "length of the run");
  add("max-tokens", po::value<uint32_t>()->default_value(64), "token limit of a completion");
  add("trace", po::value<std::string>(), "replay this recorded trace instead");
  add("record", po::value<std::string>(), "write the calls as a trace");
  add("threads", po::value<int>()->default_value(64), "maximum number of concurrent calls");
  add("timeout-ms", po::value<uint32_t>()->default_value(30000), "deadline of a call");
  add("seed", po::value<uint64_t>()->default_value(1), "random seed for arrivals and prompts");
  return description;
}

bool ReadCalls(const po::variables_map& values, LoadOptions& options) {
  if (values.count("trace") == 0) {
    options.calls = SteadyTrace(values["rate"].as<double>(),
                                std::chrono::seconds(values["seconds"].as<uint32_t>()),
                                values["max-tokens"].as<uint32_t>(), options.seed);
    return true;
  }
  const std::string path = values["trace"].as<std::string>();
  std::ifstream stream(path);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  Findings findings;
  options.calls = ReadTrace(path, text, findings);
  fmt::print(stderr, "{}", findings.ToString());
  return findings.empty();
}

int Run(const po::variables_map& values) {
  LoadOptions options;
  options.gateways = values["gateway"].as<std::vector<std::string>>();
  options.model = values["model"].as<std::string>();
  options.threads = std::max(1, values["threads"].as<int>());
  options.seed = values["seed"].as<uint64_t>();
  options.timeout = std::chrono::milliseconds(values["timeout-ms"].as<uint32_t>());
  if (!ReadCalls(values, options)) return kUsageError;
  if (values.count("record") > 0) {
    std::ofstream(values["record"].as<std::string>()) << WriteTrace(options.calls);
  }
  LoadRun run(std::move(options));
  run.Run();
  return run.Report() ? 0 : kCheckFailed;
}

}  // namespace

int RunLoadCommand(const std::vector<std::string>& arguments) {
  const po::options_description description = Describe();
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments).options(description).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kUsageError;
  }
  if (values.count("help") > 0 || values.count("gateway") == 0) {
    fmt::print(stderr, "{}", fmt::streamed(description));
    return values.count("help") > 0 ? 0 : kUsageError;
  }
  return Run(values);
}

}  // namespace millstair
