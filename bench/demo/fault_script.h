/// Executes commands that scripts/demo writes to standard input, one per line. The script starts
/// and stops processes and reports it; the driver cuts links, crashes engines and records the
/// faults.
///
///   stopping NODE    a planned stop begins      stopped NODE   its process has ended
///   killing NODE     its process is killed      killed NODE    its process has ended
///   started NODE     the node is ready again
///   cut ZONE         cut the zone off           heal ZONE      undo it
///   crash ENGINE     crash the engine; it restarts after a delay
///   draining ENGINE  operators drain it         finish         end the run
///   wait SECONDS     pause before the next line
#pragma once

#include <istream>
#include <string>
#include <thread>
#include <vector>

#include "bench/demo/demo_run.h"

namespace millstair {

class FaultScript {
 public:
  explicit FaultScript(DemoRun& run) : run_(run) {}
  /// Joins the watcher threads; the run must have been stopped.
  ~FaultScript();

  /// Executes commands until "finish" or the end of the input. False if a command is unknown or
  /// failed; `failed_command` is then its line.
  bool Run(std::istream& input, std::string& failed_command);

 private:
  bool Execute(const std::string& command, const std::string& argument);
  void BeginFault(const std::string& kind, const std::string& node, bool planned);
  /// Closes the open fault windows of `node`.
  void EndFault(const std::string& node);
  bool CutZone(const std::string& zone, const std::string& kind);
  bool CrashEngine(const std::string& engine);
  bool WatchDraining(const std::string& engine);
  const FleetBackend* FindEngine(const std::string& name) const;

  DemoRun& run_;
  std::vector<std::thread> watchers_;
};

}  // namespace millstair
