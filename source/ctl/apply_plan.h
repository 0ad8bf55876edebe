/// What an apply would change: desired resources against stored ones.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ctl/control_api.h"
#include "resources/resource_codec.h"

namespace millstair {

enum class PlannedAction { kCreate, kChange, kUnchanged };

std::string_view PlannedActionName(PlannedAction action);

struct PlannedChange {
  PlannedAction action = PlannedAction::kUnchanged;
  Resource desired;
  /// Version stored now, or the one that the file demands; 0 demands absence.
  Revision expected;
  /// One line a difference: "spec.drain: false -> true".
  std::vector<std::string> differences;
};

/// One entry per desired resource, in their order. A `version` in a file is kept as the version
/// that must be stored; otherwise the stored one is what the change builds on.
std::vector<PlannedChange> PlanApply(const std::vector<Resource>& desired,
                                     const std::vector<Resource>& stored);

/// The changes to send; those that keep everything are left out.
std::vector<ApplyItem> ItemsOf(const std::vector<PlannedChange>& plan);

}  // namespace millstair
