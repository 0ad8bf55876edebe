#include "bench/scale/hollow_command.h"

#include <fmt/core.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include "absl/strings/str_split.h"
#include "bench/command_line/command_line.h"
#include "bench/scale/hollow_host.h"

namespace millstair {
namespace {

namespace po = boost::program_options;

constexpr int kExitNotStarted = 1;

struct HollowOptions {
  std::string listen;
  std::string cluster;
  std::vector<Zone> zones;
  std::vector<ControlEndpoint> control;
  uint64_t first = 0;
  uint64_t count = 0;
  int io_threads = 1;
  int workers = 2;
};

po::options_description Options() {
  po::options_description options("millstair-bench hollow");
  options.add_options()("help", "show this")                                         //
      ("listen", po::value<std::string>()->required(), "ip:port of the state page")  //
      ("cluster", po::value<std::string>()->required(), "cluster id")                //
      ("control", po::value<std::vector<std::string>>()->required()->composing(),
       "NODE,IP:PORT,ZONE of a control node; once for each")                                    //
      ("zones", po::value<std::string>()->required(), "zones, comma-separated, taken in turn")  //
      ("first", po::value<uint64_t>()->default_value(0), "number of the first node")            //
      ("count", po::value<uint64_t>()->default_value(10), "nodes in this process")              //
      ("io-threads", po::value<int>()->default_value(1), "")                                    //
      ("workers", po::value<int>()->default_value(2), "");
  return options;
}

absl::StatusOr<ControlEndpoint> ParseControl(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ',');
  if (parts.size() != 3) {
    return absl::InvalidArgumentError(fmt::format("--control {}: want NODE,IP:PORT,ZONE", text));
  }
  return ControlEndpoint{NodeId(parts[0]), parts[1], Zone(parts[2])};
}

absl::StatusOr<HollowOptions> OptionsFrom(const po::variables_map& values) {
  HollowOptions options;
  options.listen = values["listen"].as<std::string>();
  options.cluster = values["cluster"].as<std::string>();
  for (const std::string& text : values["control"].as<std::vector<std::string>>()) {
    auto endpoint = ParseControl(text);
    if (!endpoint.ok()) return endpoint.status();
    options.control.push_back(*std::move(endpoint));
  }
  const std::vector<std::string> zones =
      absl::StrSplit(values["zones"].as<std::string>(), ',', absl::SkipEmpty());
  for (const std::string& zone : zones) {
    options.zones.emplace_back(zone);
  }
  if (options.zones.empty()) return absl::InvalidArgumentError("--zones names none");
  options.first = values["first"].as<uint64_t>();
  options.count = values["count"].as<uint64_t>();
  options.io_threads = values["io-threads"].as<int>();
  options.workers = values["workers"].as<int>();
  return options;
}

HollowNodeOptions NodeOptions(const HollowOptions& options, uint64_t number) {
  HollowNodeOptions node;
  node.node = NodeId(fmt::format("hollow-{:04}", number));
  node.zone = options.zones[number % options.zones.size()];
  node.cluster_id = options.cluster;
  node.control_nodes = options.control;
  return node;
}

int Host(const HollowOptions& options) {
  RuntimeOptions threads;
  threads.io_threads = options.io_threads;
  threads.workers = options.workers;
  threads.background_workers = 1;
  Runtime runtime(threads);
  const auto executor = runtime.NewExecutor();
  HollowHost host(runtime);
  for (uint64_t i = 0; i < options.count; ++i) {
    const absl::Status added = host.Add(NodeOptions(options, options.first + i));
    if (added.ok()) continue;
    fmt::print(stderr, "{}\n", std::string(added.message()));
    return kExitNotStarted;
  }
  auto server = HttpServer::Listen(runtime, executor, options.listen, host);
  if (!server.ok()) {
    fmt::print(stderr, "{}\n", std::string(server.status().message()));
    return kExitNotStarted;
  }
  boost::asio::io_context signals;
  boost::asio::signal_set stop(signals, SIGTERM, SIGINT);
  stop.async_wait([](const boost::system::error_code&, int) {});
  signals.run();
  (*server)->Stop();
  executor->Stop();
  host.Clear();
  runtime.Stop();
  return 0;
}

}  // namespace

int RunHollowCommand(const std::vector<std::string>& arguments) {
  po::variables_map values;
  if (const auto exit_code = ParseArguments(arguments, Options(), values)) return *exit_code;
  const auto options = OptionsFrom(values);
  if (!options.ok()) {
    fmt::print(stderr, "{}\n", std::string(options.status().message()));
    return kExitBadArguments;
  }
  return Host(*options);
}

}  // namespace millstair
