/// Command line of millstairctl.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"

namespace millstair {

enum class OutputFormat { kTable, kJson, kYaml };

struct CtlOptions {
  std::string command;
  /// Positional arguments of the command: kinds, names, "Kind/name" targets.
  std::vector<std::string> arguments;
  std::vector<std::string> servers;
  std::vector<std::string> files;
  OutputFormat output = OutputFormat::kTable;
  Duration timeout = std::chrono::seconds(30);
  std::optional<uint64_t> revision;
  /// After a change, wait until every node has applied it.
  bool wait = false;
  /// `watch`: stop after this many revisions; 0 never stops.
  uint64_t count = 0;
  bool help = false;
};

/// Parses the command line. Without servers on it, uses MILLSTAIR_SERVERS (comma-separated), then
/// the settings file. Errors are InvalidArgument.
absl::StatusOr<CtlOptions> ParseCtlOptions(const std::vector<std::string>& arguments);

/// Servers of a settings file: YAML with the one key `servers`, a list of "ip:port".
absl::StatusOr<std::vector<std::string>> ServersFromFile(const std::string& path);

std::string CtlUsage();

}  // namespace millstair
