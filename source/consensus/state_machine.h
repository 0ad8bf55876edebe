/// What a replicated log drives. Implementations are deterministic: the same entries in the same
/// order give the same state, results and snapshots on every replica.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "common/ids.h"

namespace millstair {

/// Put together in order, they are a snapshot.
using SnapshotParts = std::vector<std::shared_ptr<const std::string>>;

class StateMachine {
 public:
  virtual ~StateMachine() = default;
  /// Applies a committed command and returns its encoded result. Malformed commands are answered
  /// with an encoded error; they never stop the replica.
  virtual std::string Apply(LogIndex index, std::string_view command) = 0;
  /// The whole state, as of the last applied entry.
  virtual std::string TakeSnapshot() const = 0;
  /// The same in parts, which may be shared with the state, so that a large one is not copied.
  virtual SnapshotParts TakeSnapshotParts() const {
    return {std::make_shared<const std::string>(TakeSnapshot())};
  }
  /// Replaces the state. DataLoss if `snapshot` does not decode; the state is then unchanged.
  virtual absl::Status Restore(LogIndex index, std::string_view snapshot) = 0;
};

}  // namespace millstair
