#include "server/server_process.h"

#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <future>
#include <sstream>

#include "common/event_log.h"
#include "fmt/format.h"
#include "server/command_line.h"
#include "server/host_check.h"
#include "server/server_node.h"
#include "settings/settings_table.h"

namespace millstair {
namespace {

constexpr char kVersion[] = "millstaird 0.1.0\n";

struct LoadedSettings {
  ServerSettings settings;
  Findings findings;
};

LoadedSettings LoadSettings(const CommandLine& line) {
  LoadedSettings loaded;
  std::string text;
  if (!line.settings_file.empty()) {
    std::ifstream file(line.settings_file);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) {
      loaded.findings.Add({line.settings_file, 0, 0}, "the settings file can't be read");
      return loaded;
    }
    text = content.str();
  }
  loaded.settings = ReadSettings(line.settings_file, text, line.overrides, loaded.findings);
  return loaded;
}

/// Prints every finding; returns the lowest of their exit codes.
ExitCode Check(const LoadedSettings& loaded) {
  ExitCode code = ExitCode::kOk;
  const auto report = [&code](ExitCode kind, const Finding& finding) {
    fmt::print("{}\n", finding.ToString());
    if (code == ExitCode::kOk || kind < code) code = kind;
  };
  for (const Finding& finding : loaded.findings.items()) report(ExitCode::kSettings, finding);
  for (const HostFinding& found : CheckHost(loaded.settings)) report(found.code, found.finding);
  if (code == ExitCode::kOk) fmt::print("the settings are valid\n");
  return code;
}

ExitCode Initialize(const ServerSettings& settings) {
  const auto fail = [](ExitCode code, std::string_view message) {
    LogEvent(EventId::kInitializeFailed, "{}", message);
    return code;
  };
  const auto& founders = settings.founders;
  if (!settings.control ||
      std::find(founders.begin(), founders.end(), settings.node) == founders.end()) {
    return fail(ExitCode::kSettings, "only an initial member of the cluster can be initialized");
  }
  auto files = PosixFileSystem::Open(settings.data_folder, {});
  if (!files.ok()) {
    const bool locked = files.status().code() == absl::StatusCode::kFailedPrecondition;
    return fail(locked ? ExitCode::kFolderLocked : ExitCode::kFolderUnusable,
                std::string(files.status().message()));
  }
  const absl::Status written = InitializeInitialMember(
      **files, settings.cluster, NodeId(settings.node), settings.peer_address);
  if (written.ok()) {
    LogEvent(EventId::kFounderInitialized, "node={} data={}", settings.node, settings.data_folder);
    return ExitCode::kOk;
  }
  const bool already_initialized = written.code() == absl::StatusCode::kFailedPrecondition;
  return fail(already_initialized ? ExitCode::kAlreadyInitialized : ExitCode::kFolderUnusable,
              std::string(written.message()));
}

void SetLogLevel(const std::string& level) {
  if (level == "debug") SetEventThreshold(EventLevel::kDebug);
  if (level == "warning") SetEventThreshold(EventLevel::kWarning);
  if (level == "error") SetEventThreshold(EventLevel::kError);
}

/// Each connection uses a file descriptor; the default soft limit is too low.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

/// Logs each SIGHUP. Nothing is reloaded: changes at run time come from the cluster.
class ReloadSignals {
 public:
  ReloadSignals(boost::asio::io_context& io, std::string node)
      : signals_(io, SIGHUP), node_(std::move(node)) {
    Wait();
  }

 private:
  void Wait() {
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      LogEvent(EventId::kServerReloaded, "node={}", node_);
      Wait();
    });
  }

  boost::asio::signal_set signals_;
  const std::string node_;
};

/// Waits for SIGTERM or SIGINT; a second signal ends the process at once.
class StopSignals {
 public:
  explicit StopSignals(boost::asio::io_context& io) : signals_(io, SIGTERM, SIGINT) {}

  void Wait(std::function<void()> first) {
    signals_.async_wait(
        [this, first = std::move(first)](const boost::system::error_code& error, int) {
          if (error) return;
          first();
          signals_.async_wait([](const boost::system::error_code& second_error, int) {
            if (!second_error) std::_Exit(static_cast<int>(ExitCode::kFailure));
          });
        });
  }

 private:
  boost::asio::signal_set signals_;
};

ExitCode Run(const ServerSettings& settings) {
  StatsRegistry stats;  // outlives the runtime
  RuntimeOptions options;
  options.io_threads = static_cast<int>(settings.io_threads);
  options.workers = static_cast<int>(settings.workers);
  Runtime runtime(options);
  ServerNode node(runtime, stats, settings);
  std::promise<void> stopped;
  StopSignals signals(runtime.io());
  const ReloadSignals reloads(runtime.io(), settings.node);
  const StartError error = node.Start();
  if (error.code != ExitCode::kOk) {
    LogEvent(EventId::kServerNotStarted, "{}", error.message);
    return error.code;
  }
  LogEvent(EventId::kServerStarted, "node={} zone={} peer={} http={}", settings.node, settings.zone,
           node.peer_address(), node.http_address());
  signals.Wait([&] {
    LogEvent(EventId::kServerDraining, "node={}", settings.node);
    node.BeginStop([&stopped] { stopped.set_value(); });
  });
  stopped.get_future().wait();
  node.Close();
  LogEvent(EventId::kServerStopped, "node={}", settings.node);
  runtime.Stop();
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunServer(const std::vector<std::string>& arguments) {
  const CommandLine line = ParseCommandLine(arguments);
  if (!line.error.empty()) {
    fmt::print(stderr, "millstaird: {}; see millstaird --help\n", line.error);
    return ExitCode::kUsage;
  }
  if (line.mode == ServerMode::kHelp) fmt::print("{}", HelpText());
  if (line.mode == ServerMode::kVersion) fmt::print("{}", kVersion);
  if (line.mode == ServerMode::kDescribeSettings) fmt::print("{}", SettingsTable());
  if (line.mode != ServerMode::kRun && line.mode != ServerMode::kCheck &&
      line.mode != ServerMode::kInitialize) {
    return ExitCode::kOk;
  }
  const LoadedSettings loaded = LoadSettings(line);
  if (line.mode == ServerMode::kCheck) return Check(loaded);
  SetEventDescriptor(STDOUT_FILENO);
  for (const Finding& finding : loaded.findings.items()) {
    LogEvent(EventId::kSettingsFaulty, "{}", finding.ToString());
  }
  if (!loaded.findings.empty()) return ExitCode::kSettings;
  SetLogLevel(loaded.settings.log_level);
  if (line.mode == ServerMode::kInitialize) return Initialize(loaded.settings);
  RaiseDescriptorLimit();
  return Run(loaded.settings);
}

}  // namespace millstair
