#include "bench/scale/scale_command.h"

#include <fmt/core.h>

#include <boost/program_options.hpp>
#include <fstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "bench/command_line/command_line.h"
#include "bench/scale/scale_run.h"

namespace millstair {
namespace {

namespace po = boost::program_options;
using Texts = std::vector<std::string>;

constexpr int kExitFailed = 1;

po::options_description Options() {
  po::options_description options("millstair-bench scale");
  options.add_options()("help", "show this")  //
      ("control", po::value<Texts>()->required()->composing(),
       "NAME,PID,IP:PORT of a control node's process and HTTP; once for each")                //
      ("gateway", po::value<std::string>()->required(), "HTTP ip:port of a real gateway")     //
      ("hollow", po::value<Texts>()->required()->composing(), "state page of a hollow host")  //
      ("nodes", po::value<size_t>()->required(), "hollow nodes in all")                       //
      ("servers", po::value<uint32_t>()->required(), "engines")                               //
      ("zones", po::value<std::string>()->required(), "zones, comma-separated")               //
      ("changes", po::value<uint32_t>()->default_value(20), "configuration changes")          //
      ("publishes", po::value<uint32_t>()->default_value(3), "weight versions")               //
      ("window", po::value<uint32_t>()->default_value(20), "seconds of a cost window")        //
      ("csv", po::value<std::string>()->default_value(""), "file to append a row to");
  return options;
}

absl::Status AddControl(const std::string& text, ScaleOptions& options) {
  const Texts parts = absl::StrSplit(text, ',');
  int pid = 0;
  if (parts.size() != 3 || !absl::SimpleAtoi(parts[1], &pid)) {
    return absl::InvalidArgumentError(fmt::format("--control {}: want NAME,PID,IP:PORT", text));
  }
  options.control.push_back({parts[0], pid});
  options.control_http.push_back(parts[2]);
  return absl::OkStatus();
}

absl::StatusOr<ScaleOptions> OptionsFrom(const po::variables_map& values) {
  ScaleOptions options;
  for (const std::string& text : values["control"].as<Texts>()) {
    const absl::Status added = AddControl(text, options);
    if (!added.ok()) return added;
  }
  options.gateway_http = values["gateway"].as<std::string>();
  options.hollow = values["hollow"].as<Texts>();
  options.nodes = values["nodes"].as<size_t>();
  options.shape.servers = values["servers"].as<uint32_t>();
  const std::vector<std::string> zones =
      absl::StrSplit(values["zones"].as<std::string>(), ',', absl::SkipEmpty());
  for (const std::string& zone : zones) {
    options.shape.zones.emplace_back(zone);
  }
  if (options.shape.zones.empty()) return absl::InvalidArgumentError("--zones names none");
  options.changes = values["changes"].as<uint32_t>();
  options.publishes = values["publishes"].as<uint32_t>();
  options.window = std::chrono::seconds(values["window"].as<uint32_t>());
  return options;
}

void AppendCsv(const std::string& path, const ScaleReport& report) {
  if (path.empty()) return;
  const bool fresh = !std::ifstream(path).good();
  std::ofstream file(path, std::ios::app);
  if (fresh) file << ScaleCsvHeader();
  file << ToCsvRow(report);
}

}  // namespace

int RunScaleCommand(const std::vector<std::string>& arguments) {
  po::variables_map values;
  if (const auto exit_code = ParseArguments(arguments, Options(), values)) return *exit_code;
  const auto options = OptionsFrom(values);
  if (!options.ok()) {
    fmt::print(stderr, "{}\n", std::string(options.status().message()));
    return kExitBadArguments;
  }
  BlockingClient caller;
  ScaleRun run(caller, *options);
  const absl::Status measured = run.Run();
  fmt::print("{}", ToText(run.report()));
  if (!measured.ok()) {
    fmt::print(stderr, "failed: {}\n", std::string(measured.message()));
    return kExitFailed;
  }
  AppendCsv(values["csv"].as<std::string>(), run.report());
  return 0;
}

}  // namespace millstair
