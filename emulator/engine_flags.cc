#include "emulator/engine_flags.h"

#include <chrono>

namespace millstair {

namespace po = boost::program_options;

namespace {

/// Wall-clock milliseconds, so that a later process has a larger incarnation.
uint64_t IncarnationFromClock() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

template <class Unit>
Duration Time(const po::variables_map& values, const char* name) {
  return std::chrono::duration_cast<Duration>(Unit(values[name].as<uint32_t>()));
}

}  // namespace

po::options_description DescribeEngineFlags() {
  po::options_description flags("millstair-emulator engine");
  auto add = flags.add_options();
  add("help", "this text");
  add("listen", po::value<std::string>()->required(), "ip:port");
  add("store", po::value<std::string>()->default_value(""), "ip:port of the weight store");
  add("model", po::value<std::string>()->default_value(""), "model served from the start");
  add("version", po::value<uint64_t>()->default_value(0), "its version; 0 serves none");
  add("digest", po::value<std::string>()->default_value(""), "its digest");
  add("role", po::value<std::string>()->default_value(""), "initial role");
  add("incarnation", po::value<uint64_t>()->default_value(0), "0 takes the wall clock");
  add("step-base-us", po::value<uint32_t>()->default_value(15000), "time of a batch step");
  add("step-per-sequence-us", po::value<uint32_t>()->default_value(250),
      "additional time per sequence");
  add("step-per-prefill-token-us", po::value<uint32_t>()->default_value(20),
      "additional time per prompt token");
  add("max-sequences", po::value<uint32_t>()->default_value(32), "maximum batch size");
  add("max-waiting", po::value<uint32_t>()->default_value(1024),
      "maximum number of waiting requests");
  add("kv-blocks", po::value<uint32_t>()->default_value(4096), "KV memory, blocks of 16 tokens");
  add("max-prefill-tokens", po::value<uint32_t>()->default_value(2048),
      "maximum number of prompt tokens per step");
  add("chunk-tokens", po::value<uint32_t>()->default_value(8), "tokens per chunk");
  add("report-lag-ms", po::value<uint32_t>()->default_value(250), "age of reports");
  add("cache-event-delay-ms", po::value<uint32_t>()->default_value(100), "delay of cache events");
  add("cache-event-loss", po::value<double>()->default_value(0), "fraction of events lost, 0..1");
  add("activate-ms", po::value<uint32_t>()->default_value(300), "time of a weight swap");
  add("activate-failure", po::value<double>()->default_value(0),
      "fraction of swaps that fail, 0..1");
  add("max-staged", po::value<uint32_t>()->default_value(2), "maximum number of staged versions");
  add("fetch-ms", po::value<uint32_t>()->default_value(500), "time of a fetch without a store");
  add("kv-transfer-us", po::value<uint32_t>()->default_value(50), "time to import a KV block");
  add("truth-limit", po::value<uint32_t>()->default_value(1000000),
      "maximum number of requests in the truth log");
  add("drain-timeout-ms", po::value<uint32_t>()->default_value(60000),
      "maximum wait for running requests on shutdown");
  return flags;
}

EngineFlags EngineFlagsFrom(const po::variables_map& values) {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  const auto text = [&](const char* name) { return values[name].as<std::string>(); };
  const auto count = [&](const char* name) { return values[name].as<uint32_t>(); };
  EngineFlags flags;
  flags.listen = text("listen");
  flags.store = text("store");
  flags.drain_timeout = Time<milliseconds>(values, "drain-timeout-ms");
  EngineModelOptions& model = flags.model;
  model.initial_weights = {ModelName(text("model")),
                           WeightVersion(values["version"].as<uint64_t>()),
                           WeightDigest(text("digest"))};
  model.role = text("role");
  const auto incarnation = values["incarnation"].as<uint64_t>();
  model.first_incarnation = Incarnation(incarnation == 0 ? IncarnationFromClock() : incarnation);
  model.step_time = {Time<microseconds>(values, "step-base-us"),
                     Time<microseconds>(values, "step-per-sequence-us"),
                     Time<microseconds>(values, "step-per-prefill-token-us")};
  model.max_sequences = count("max-sequences");
  model.max_waiting = count("max-waiting");
  model.total_kv_blocks = count("kv-blocks");
  model.max_prefill_tokens_per_step = count("max-prefill-tokens");
  model.chunk_tokens = count("chunk-tokens");
  model.report_lag = Time<milliseconds>(values, "report-lag-ms");
  model.cache_event_delay = Time<milliseconds>(values, "cache-event-delay-ms");
  model.cache_event_loss = values["cache-event-loss"].as<double>();
  model.activate_time = Time<milliseconds>(values, "activate-ms");
  model.activate_failure = values["activate-failure"].as<double>();
  model.max_staged = count("max-staged");
  model.default_fetch_time = Time<milliseconds>(values, "fetch-ms");
  model.kv_transfer_per_block = Time<microseconds>(values, "kv-transfer-us");
  model.truth_log_limit = count("truth-limit");
  return flags;
}

}  // namespace millstair
