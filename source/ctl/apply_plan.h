/// Changes that an apply makes: the difference of desired and stored resources.
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
  /// Stored version, or the one required by the file; 0 requires absence.
  Revision expected;
  /// One line per difference, such as "spec.drain: false -> true".
  std::vector<std::string> differences;
};

/// One entry per desired resource, in their order. The expected version is the `version` in the
/// file if it has one, otherwise the stored one.
std::vector<PlannedChange> PlanApply(const std::vector<Resource>& desired,
                                     const std::vector<Resource>& stored);

/// The changes to send, without unchanged resources.
std::vector<ApplyItem> ItemsOf(const std::vector<PlannedChange>& plan);

}  // namespace millstair
