#include "limits/target_class.h"

#include <algorithm>

namespace millstair {

double TargetClassShares::StartOf(TargetClass target_class) const {
  return std::max(start_[IndexOf(target_class)], virtual_time_);
}

TargetClass TargetClassShares::Next() const {
  const bool in_time = StartOf(TargetClass::kInTime) <= StartOf(TargetClass::kLate);
  return in_time ? TargetClass::kInTime : TargetClass::kLate;
}

void TargetClassShares::Charge(TargetClass served) {
  virtual_time_ = StartOf(served);
  start_[IndexOf(served)] = virtual_time_ + 1 / ShareOf(served);
}

}  // namespace millstair
