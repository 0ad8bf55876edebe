/// Applies the planned faults of a run and heals them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "simulator/faults/fault_actions.h"

namespace millstair::simulator {

class FaultDriver {
 public:
  /// `world` must outlive the driver; both must live until the end of the run.
  explicit FaultDriver(World& world) : world_(world) {}
  FaultDriver(const FaultDriver&) = delete;
  FaultDriver& operator=(const FaultDriver&) = delete;

  void Start();
  /// Number of faults applied, by name.
  const std::map<std::string, uint64_t>& tried() const { return tried_; }

 private:
  void Begin(const PlannedFault& fault);

  World& world_;
  std::deque<FaultContext> contexts_;
  std::map<std::string, uint64_t> tried_;
};

}  // namespace millstair::simulator
