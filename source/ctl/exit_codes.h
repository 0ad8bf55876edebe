/// Exit codes of millstairctl; docs/OPERATIONS.md lists them.
#pragma once

namespace millstair {

enum class ExitCode : int {
  kOk = 0,
  /// `diff` found differences.
  kDifferent = 1,
  /// Wrong command line.
  kUsage = 2,
  /// The files hold findings, or the server refused the input.
  kInvalid = 3,
  /// Compare-and-set lost against another change.
  kConflict = 4,
  kNotFound = 5,
  /// No control node answered in time. A change may have been made.
  kUnanswered = 6,
  /// The server said that the change was not made (session expired, refused).
  kRefused = 7,
  /// `wait`: some node still lacks the revision.
  kLagging = 8,
};

}  // namespace millstair
