// millstair-emulator: real-time stand-ins for the external systems of the service.
#include <string>
#include <vector>

#include "emulator/stand_in_commands.h"
#include "fmt/format.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty() || arguments[0] == "--help") {
    fmt::print("{}", millstair::StandInUsage());
    return arguments.empty() ? millstair::kExitUsage : millstair::kExitOk;
  }
  return millstair::RunStandIn(arguments[0], {arguments.begin() + 1, arguments.end()});
}
