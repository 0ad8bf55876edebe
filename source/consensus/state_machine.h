/// Interface of replicated state machines. Implementations must be deterministic: the same entries
/// in the same order give the same state, results and snapshots on every replica.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "common/ids.h"

namespace millstair {

/// Parts of a snapshot, to be concatenated in order.
using SnapshotParts = std::vector<std::shared_ptr<const std::string>>;

class StateMachine {
 public:
  virtual ~StateMachine() = default;
  /// Applies a committed command and returns its encoded result. A malformed command
  /// returns an encoded error and does not stop the replica.
  virtual std::string Apply(LogIndex index, std::string_view command) = 0;
  /// Serializes the complete state as of the last applied entry.
  virtual std::string TakeSnapshot() const = 0;
  /// Like TakeSnapshot, in parts that may be shared with the state to avoid copying it.
  virtual SnapshotParts TakeSnapshotParts() const {
    return {std::make_shared<const std::string>(TakeSnapshot())};
  }
  /// Replaces the state. DataLoss if `snapshot` does not decode; the state is then unchanged.
  virtual absl::Status Restore(LogIndex index, std::string_view snapshot) = 0;
};

}  // namespace millstair
