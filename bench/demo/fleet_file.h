/// Description of a running fleet for the demo driver (deploy/*/fleet.yaml).
#pragma once

#include <string>
#include <vector>

#include "common/findings.h"
#include "simulator/checks/history.h"

namespace millstair {

/// A millstaird process.
struct FleetNode {
  std::string name;
  std::string zone;
  /// HTTP listener of the process.
  std::string address;
  /// Address that callers use, behind the client link; `address` if empty.
  std::string client_address;
  bool gateway = false;
};

struct FleetBackend {
  std::string name;
  std::string address;
};

/// Live traffic of one kind other than completions.
struct FleetTraffic {
  checks::CallKind kind = checks::CallKind::kPage;
  std::string host;
  std::string path;
  /// Calls per second.
  double rate = 1;
};

struct FleetFile {
  std::string deployment;
  std::string model;
  std::string stream;
  uint64_t staleness_bound = 2;
  uint64_t samples_per_step = 24;
  uint64_t max_tokens = 64;
  /// Simulated training time per step.
  Duration train_time = std::chrono::milliseconds(1500);
  /// Live completions per second.
  double completion_rate = 10;
  std::string link_control;
  std::vector<std::string> zones;
  std::vector<FleetNode> nodes;
  std::vector<FleetBackend> engines;
  std::vector<FleetBackend> plain_servers;
  std::vector<FleetTraffic> traffic;
};

FleetFile ParseFleetFile(const std::string& file, const std::string& text, Findings& findings);

}  // namespace millstair
