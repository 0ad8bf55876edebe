// Entry point of millstairctl, the operators' command line.
#include <iostream>
#include <thread>

#include "ctl/blocking_client.h"
#include "ctl/commands.h"

namespace {

int Run(const std::vector<std::string>& arguments) {
  using millstair::Duration;
  const absl::StatusOr<millstair::CtlOptions> options = millstair::ParseCtlOptions(arguments);
  if (!options.ok()) {
    std::cerr << options.status().message() << "\nmillstairctl --help shows the commands\n";
    return static_cast<int>(millstair::ExitCode::kUsage);
  }
  if (options->help) {
    std::cout << millstair::CtlUsage();
    return static_cast<int>(millstair::ExitCode::kOk);
  }
  const auto sleep = [](Duration time) { std::this_thread::sleep_for(time); };
  const auto begin = std::chrono::steady_clock::now();
  const auto elapsed = [begin] {
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin);
  };
  millstair::BlockingClient client;
  millstair::ControlApiOptions api_options;
  api_options.servers = options->servers;
  api_options.timeout = options->timeout;
  millstair::ControlApi api(client, api_options, sleep);
  millstair::CommandContext context{api, *options, std::cout, std::cerr, sleep, elapsed};
  return static_cast<int>(millstair::RunCommand(context));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << "millstairctl: " << error.what() << "\n";
    return static_cast<int>(millstair::ExitCode::kUnanswered);
  }
}
