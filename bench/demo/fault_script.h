/// Commands that scripts/demo writes to the driver's standard input, one a line: it starts and
/// stops processes and says so, the driver cuts links, crashes engines and keeps the records.
///
///   stopping NODE    a planned stop begins      stopped NODE   its process has ended
///   killing NODE     its process gets a kill    killed NODE    its process has ended
///   started NODE     the node is ready again
///   cut ZONE         cut the zone off           heal ZONE      undo it
///   crash ENGINE     the engine dies, and comes back after a while
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
  /// Joins its watches; the run must have been stopped.
  ~FaultScript();

  /// Carries out lines until "finish" or the end of the input. False when one was not understood or
  /// failed; `fault` says which.
  bool Follow(std::istream& input, std::string& fault);

 private:
  bool Do(const std::string& command, const std::string& argument);
  void Begin(const std::string& kind, const std::string& node, bool planned);
  /// Ends the open windows of `node`.
  void End(const std::string& node);
  bool CutZone(const std::string& zone, const std::string& kind);
  bool CrashEngine(const std::string& engine);
  bool WatchDraining(const std::string& engine);
  const FleetBackend* FindEngine(const std::string& name) const;

  DemoRun& run_;
  std::vector<std::thread> watches_;
};

}  // namespace millstair
