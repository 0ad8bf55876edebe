/// Findings: errors in input, each with its location, collected and reported together.
#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"

namespace millstair {

/// Location of a finding in the input. Lines and columns start at 1; 0 is unknown.
struct Location {
  std::string file;
  int line = 0;
  int column = 0;

  /// "file:line:column" without unknown parts.
  std::string ToString() const;
  friend bool operator==(const Location&, const Location&) = default;
};

struct Finding {
  Location location;
  std::string message;

  /// "file:line:column: message".
  std::string ToString() const;
};

/// A list of findings. Empty means that the input is valid.
class Findings {
 public:
  void Add(Location location, std::string message);
  void Append(const Findings& other);

  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }

  /// One finding per line.
  std::string ToString() const;
  /// OK if empty, else InvalidArgument with all findings in the message.
  absl::Status ToStatus() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace millstair
