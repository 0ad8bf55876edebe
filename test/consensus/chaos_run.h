/// One seeded run of a fleet under faults, with its safety and liveness checks.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "consensus_fleet.h"

namespace millstair {

struct ChaosOptions {
  uint64_t seed = 1;
  int initial_members = 3;
  Duration span = std::chrono::seconds(60);
  ConsensusFaults faults;
  /// Replace lost disks and change members.
  bool membership_changes = true;
  /// A fleet that does not recover is no violation: broken variants must be caught for what they
  /// break, not for being stuck.
  bool safety_only = false;
};

struct ChaosCounts {
  uint64_t acknowledged = 0;
  uint64_t reads = 0;
  uint64_t crashes = 0;
  uint64_t power_losses = 0;
  uint64_t cuts = 0;
  uint64_t lost_disks = 0;
  uint64_t members_added = 0;
  uint64_t members_promoted = 0;
  uint64_t members_removed = 0;
  uint64_t transfers = 0;
};

class ChaosRun {
 public:
  explicit ChaosRun(ChaosOptions options);

  /// Runs it; what was violated, empty if nothing. Stops at the first violation.
  std::vector<std::string> Run();
  const ChaosCounts& counts() const { return counts_; }

 private:
  void RunWorkload();
  void ProposeAtLeaders();
  void ReadAtRandomNode();
  void CauseFault();
  void CrashOne();
  void LosePower();
  void CutRandomLinks();
  void SlowRandomDisk();
  void LoseRandomDisk();
  void ChangeMembers();
  void RepairMembers();
  void RestartCrashed();
  void CheckLeaders();
  void CheckEnd();
  void LivenessViolation(const std::string& text);
  void Violation(const std::string& text) { violations_.push_back(text); }
  bool Violated();
  NodeId RandomNode();
  std::vector<NodeId> Alive();

  ChaosOptions options_;
  ConsensusFleet fleet_;
  RandomEngine random_;
  ChaosCounts counts_;
  std::vector<std::string> violations_;
  std::set<NodeId> crashed_;
  /// Whoever led in each term.
  std::map<Term, ReplicaId> leaders_;
  /// Position and text of acknowledged commands.
  std::map<uint64_t, std::string> acknowledged_;
  /// Commands known to be visible: no later read may show fewer.
  uint64_t visible_ = 0;
  uint64_t next_command_ = 0;
};

}  // namespace millstair
