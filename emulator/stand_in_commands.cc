#include "emulator/stand_in_commands.h"

#include <boost/asio/post.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "emulator/engine_flags.h"
#include "emulator/engine_links.h"
#include "emulator/engine_service.h"
#include "emulator/link_service.h"
#include "emulator/platform_services.h"
#include "emulator/stand_in_process.h"
#include "fmt/format.h"
#include "fmt/ostream.h"
#include "http/beast_http_caller.h"

namespace millstair {
namespace {

namespace po = boost::program_options;
using std::chrono::milliseconds;
using Flags = std::vector<std::string>;

/// Parsed flags, or the exit code if the command must not run.
struct ParsedFlags {
  po::variables_map values;
  std::optional<int> exit_code;
};

ParsedFlags Parse(const po::options_description& description, const Flags& flags) {
  ParsedFlags parsed;
  try {
    po::store(po::command_line_parser(flags).options(description).run(), parsed.values);
    if (parsed.values.count("help") > 0) {
      fmt::print("{}", fmt::streamed(description));
      parsed.exit_code = kExitOk;
      return parsed;
    }
    po::notify(parsed.values);
  } catch (const po::error& error) {
    fmt::print(stderr, "{}\n", error.what());
    parsed.exit_code = kExitUsage;
  }
  return parsed;
}

po::options_description Describe(const std::string& command) {
  po::options_description flags("millstair-emulator " + command);
  flags.add_options()("help", "this text");
  flags.add_options()("listen", po::value<std::string>()->required(), "ip:port");
  return flags;
}

int ExitCodeOf(const absl::Status& status) {
  if (status.ok()) return kExitOk;
  fmt::print(stderr, "{}\n", std::string(status.message()));
  return kExitFailed;
}

milliseconds Milliseconds(const po::variables_map& values, const char* name) {
  return milliseconds(values[name].as<uint32_t>());
}

int RunEngine(const Flags& arguments) {
  const ParsedFlags parsed = Parse(DescribeEngineFlags(), arguments);
  if (parsed.exit_code) return *parsed.exit_code;
  const EngineFlags flags = EngineFlagsFrom(parsed.values);
  StandInProcess process;
  std::unique_ptr<BeastHttpCaller> caller;
  std::unique_ptr<EngineModel> engine;
  std::unique_ptr<EngineService> service;
  process.OnExecutor([&] {
    caller = std::make_unique<BeastHttpCaller>(process.runtime(), process.executor());
    engine = std::make_unique<EngineModel>(process.environment(), flags.model,
                                           MakeHttpLinks(*caller, flags.store));
    service = std::make_unique<EngineService>(process.environment(), *engine);
  });
  const absl::Status status =
      process.Run({.role = "engine",
                   .listen = flags.listen,
                   .handler = service.get(),
                   .drain = [&] { engine->Drain(); },
                   .idle = [&] { return engine->Idle() && service->Idle(); },
                   .drain_timeout = flags.drain_timeout});
  process.OnExecutor([&] {
    service.reset();
    engine.reset();
    caller.reset();
  });
  return ExitCodeOf(status);
}

int RunPlain(const Flags& arguments) {
  po::options_description description = Describe("plain");
  auto add = description.add_options();
  add("name", po::value<std::string>()->default_value("plain"), "server name in responses");
  add("delay-min-ms", po::value<uint32_t>()->default_value(2), "minimum time of a request");
  add("delay-max-ms", po::value<uint32_t>()->default_value(10), "maximum time of a request");
  add("refusal", po::value<double>()->default_value(0),
      "fraction of requests refused before they run, 0..1");
  add("cut-answer", po::value<double>()->default_value(0), "fraction of responses truncated, 0..1");
  add("max-concurrent", po::value<uint32_t>()->default_value(256),
      "maximum number of concurrent requests");
  add("padding", po::value<uint32_t>()->default_value(0), "bytes of padding in a response");
  const ParsedFlags parsed = Parse(description, arguments);
  if (parsed.exit_code) return *parsed.exit_code;
  const po::variables_map& values = parsed.values;
  PlainServerOptions options;
  options.name = values["name"].as<std::string>();
  options.delay_min = Milliseconds(values, "delay-min-ms");
  options.delay_max = Milliseconds(values, "delay-max-ms");
  options.refusal = values["refusal"].as<double>();
  options.cut_answer = values["cut-answer"].as<double>();
  options.max_concurrent = values["max-concurrent"].as<uint32_t>();
  options.padding_bytes = values["padding"].as<uint32_t>();

  StandInProcess process;
  PlainServerModel model(process.environment(), options);
  PlainService service(process.environment(), model, options);
  return ExitCodeOf(process.Run({.role = "plain",
                                 .listen = values["listen"].as<std::string>(),
                                 .handler = &service,
                                 .drain = [&] { model.Drain(); },
                                 .idle = [&] { return model.Idle(); }}));
}

int RunStore(const Flags& arguments) {
  po::options_description description = Describe("store");
  auto add = description.add_options();
  add("bytes-per-second", po::value<uint64_t>()->default_value(400'000'000),
      "rate over all readers");
  add("burst-bytes", po::value<uint64_t>()->default_value(400'000'000),
      "capacity of the token bucket");
  add("version-bytes", po::value<uint64_t>()->default_value(100'000'000),
      "default size of a version");
  add("max-waiting", po::value<uint32_t>()->default_value(16), "maximum number of waiting reads");
  const ParsedFlags parsed = Parse(description, arguments);
  if (parsed.exit_code) return *parsed.exit_code;
  const po::variables_map& values = parsed.values;
  StandInProcess process;
  WeightStoreModel model(process.environment(),
                         {.bytes_per_second = values["bytes-per-second"].as<uint64_t>(),
                          .burst_bytes = values["burst-bytes"].as<uint64_t>(),
                          .version_bytes = values["version-bytes"].as<uint64_t>(),
                          .max_waiting = values["max-waiting"].as<uint32_t>()});
  StoreService service(model);
  return ExitCodeOf(process.Run(
      {.role = "store", .listen = values["listen"].as<std::string>(), .handler = &service}));
}

int RunScorer(const Flags& arguments) {
  po::options_description description = Describe("scorer");
  auto add = description.add_options();
  add("delay-ms", po::value<uint32_t>()->default_value(20), "time of a score");
  add("failure", po::value<double>()->default_value(0), "fraction of requests that fail, 0..1");
  const ParsedFlags parsed = Parse(description, arguments);
  if (parsed.exit_code) return *parsed.exit_code;
  StandInProcess process;
  ScorerModel model(process.environment(), {.delay = Milliseconds(parsed.values, "delay-ms"),
                                            .failure = parsed.values["failure"].as<double>()});
  TestHookService service(model);
  return ExitCodeOf(process.Run({.role = "scorer",
                                 .listen = parsed.values["listen"].as<std::string>(),
                                 .handler = &service}));
}

int RunMachines(const Flags& arguments) {
  po::options_description description = Describe("machines");
  auto add = description.add_options();
  add("machine", po::value<Flags>()->default_value({}, ""), "address of a live machine; repeat");
  add("lag-ms", po::value<uint32_t>()->default_value(5000), "delay until a change is visible");
  add("late", po::value<double>()->default_value(0), "fraction of changes that are late, 0..1");
  add("late-lag-ms", po::value<uint32_t>()->default_value(30000),
      "delay until late changes are visible");
  add("missing", po::value<double>()->default_value(0), "fraction that is never visible, 0..1");
  const ParsedFlags parsed = Parse(description, arguments);
  if (parsed.exit_code) return *parsed.exit_code;
  const po::variables_map& values = parsed.values;
  StandInProcess process;
  MachineListModel model(process.environment(), {.lag = Milliseconds(values, "lag-ms"),
                                                 .late = values["late"].as<double>(),
                                                 .late_lag = Milliseconds(values, "late-lag-ms"),
                                                 .missing = values["missing"].as<double>()});
  for (const std::string& address : values["machine"].as<Flags>()) {
    model.Add({address, MachineState::kLive});
  }
  MachinesService service(model);
  return ExitCodeOf(process.Run(
      {.role = "machines", .listen = values["listen"].as<std::string>(), .handler = &service}));
}

/// Runs `work` on the I/O thread and waits for it.
void OnIoThread(Runtime& runtime, const std::function<void()>& work) {
  std::promise<void> done;
  boost::asio::post(runtime.io(), [&] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

absl::Status OpenRelays(Runtime& runtime, const Flags& texts,
                        std::vector<std::unique_ptr<LinkRelay>>& relays) {
  absl::Status status;
  OnIoThread(runtime, [&] {
    for (const std::string& text : texts) {
      const absl::StatusOr<LinkOptions> options = ParseLinkOptions(text);
      if (!options.ok()) return status.Update(options.status());
      absl::StatusOr<std::unique_ptr<LinkRelay>> relay = LinkRelay::Listen(runtime.io(), *options);
      if (!relay.ok()) return status.Update(relay.status());
      relays.push_back(*std::move(relay));
    }
  });
  return status;
}

int RunLink(const Flags& arguments) {
  po::options_description description = Describe("link");
  description.add_options()("relay", po::value<Flags>()->required(),
                            "listen,target,latency-ms[,name]; repeat");
  const ParsedFlags parsed = Parse(description, arguments);
  if (parsed.exit_code) return *parsed.exit_code;
  StandInProcess process;
  Runtime& runtime = process.runtime();
  std::vector<std::unique_ptr<LinkRelay>> relays;
  absl::Status status = OpenRelays(runtime, parsed.values["relay"].as<Flags>(), relays);
  LinkService service(runtime.io(), relays, [&process](std::function<void()> task) {
    process.executor()->Post(std::move(task));
  });
  if (status.ok()) {
    status = process.Run(
        {.role = "link", .listen = parsed.values["listen"].as<std::string>(), .handler = &service});
  }
  OnIoThread(runtime, [&] { relays.clear(); });
  return ExitCodeOf(status);
}

struct StandInCommand {
  std::function<int(const Flags&)> run;
  std::string help;
};

const std::map<std::string, StandInCommand>& Commands() {
  static const auto* const kCommands = new std::map<std::string, StandInCommand>{
      {"engine", {RunEngine, "a model engine"}},
      {"link", {RunLink, "delaying TCP relays that can be cut"}},
      {"machines", {RunMachines, "the platform's machine list"}},
      {"plain", {RunPlain, "a plain HTTP server"}},
      {"scorer", {RunScorer, "the service that scores samples"}},
      {"store", {RunStore, "the rate-limited weight store"}},
  };
  return *kCommands;
}

}  // namespace

int RunStandIn(const std::string& command, const Flags& flags) {
  const auto found = Commands().find(command);
  if (found == Commands().end()) {
    fmt::print(stderr, "unknown command '{}'\n{}", command, StandInUsage());
    return kExitUsage;
  }
  return found->second.run(flags);
}

std::string StandInUsage() {
  std::string usage = "usage: millstair-emulator COMMAND [--help] [FLAGS]\n";
  for (const auto& [name, command] : Commands()) {
    usage += fmt::format("  {:<9} {}\n", name, command.help);
  }
  return usage;
}

}  // namespace millstair
