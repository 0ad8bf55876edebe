/// Exit codes of millstairctl; docs/OPERATIONS.md lists them.
#pragma once

namespace millstair {

enum class ExitCode : int {
  kOk = 0,
  /// `diff` found differences.
  kDifferent = 1,
  /// Wrong command line.
  kUsage = 2,
  /// The files are invalid, or the server rejected the input.
  kInvalid = 3,
  /// Conflict with another change (compare-and-set failed).
  kConflict = 4,
  kNotFound = 5,
  /// No control node responded in time. The outcome of a change is unknown.
  kUnanswered = 6,
  /// The server rejected the change without making it (as with an expired session).
  kRefused = 7,
  /// `wait`: some node has not applied the revision yet.
  kLagging = 8,
};

}  // namespace millstair
