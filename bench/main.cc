// millstair-bench: load generator, demo driver, experiments.
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "bench/demo/demo_command.h"
#include "bench/experiment/experiment_command.h"
#include "bench/load/load_command.h"
#include "fmt/format.h"

namespace {

constexpr int kUsageError = 2;

struct Subcommand {
  std::string_view name;
  std::string_view help;
  int (*run)(const std::vector<std::string>& arguments);
};

constexpr std::array kSubcommands = {
    Subcommand{"load", "open-loop load on running gateways", millstair::RunLoadCommand},
    Subcommand{"demo", "runs a workload on a running fleet and checks it",
               millstair::RunDemoCommand},
    Subcommand{"experiment", "compares policies in virtual time", millstair::RunExperimentCommand},
};

void PrintUsage() {
  fmt::print(stderr, "millstair-bench SUBCOMMAND [OPTIONS]\n");
  for (const Subcommand& subcommand : kSubcommands) {
    fmt::print(stderr, "  {:<12} {}\n", subcommand.name, subcommand.help);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (!arguments.empty()) {
    for (const Subcommand& subcommand : kSubcommands) {
      if (subcommand.name != arguments.front()) continue;
      return subcommand.run({arguments.begin() + 1, arguments.end()});
    }
  }
  PrintUsage();
  return kUsageError;
}
