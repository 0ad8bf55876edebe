/// A seeded run of a cluster under random faults, with safety and liveness checks.
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
  /// Whether the run loses disks and changes members.
  bool membership_changes = true;
  /// Ignores liveness violations, so that injected faults are detected only by safety checks.
  bool safety_only = false;
  /// Whether disks refuse writes, syncs fail and processes end without a loss of power.
  bool disk_errors = false;
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
  uint64_t refusals = 0;
  uint64_t failed_syncs = 0;
  uint64_t kills = 0;

  ChaosCounts& operator+=(const ChaosCounts& other);
};

class ChaosRun {
 public:
  explicit ChaosRun(ChaosOptions options);

  /// Runs until the time span ends or the first violation; returns the violations.
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
  void CauseDiskError();
  void RefuseWrites();
  void AcceptWrites();
  void KillOne();
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
  /// Leader of each term.
  std::map<Term, ReplicaId> leaders_;
  /// Acknowledged commands by position.
  std::map<uint64_t, std::string> acknowledged_;
  /// Number of commands known to be visible; no later read may return fewer.
  uint64_t visible_ = 0;
  uint64_t next_command_ = 0;
};

}  // namespace millstair
