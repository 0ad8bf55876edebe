#include "common/findings.h"

#include <utility>

#include "fmt/format.h"

namespace millstair {

std::string Location::ToString() const {
  if (line == 0) return file;
  if (column == 0) return fmt::format("{}:{}", file, line);
  return fmt::format("{}:{}:{}", file, line, column);
}

std::string Finding::ToString() const {
  const std::string where = location.ToString();
  return where.empty() ? message : fmt::format("{}: {}", where, message);
}

void Findings::Add(Location location, std::string message) {
  items_.push_back(Finding{std::move(location), std::move(message)});
}

void Findings::Append(const Findings& other) {
  items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string Findings::ToString() const {
  std::string text;
  for (const Finding& finding : items_) {
    text += finding.ToString();
    text += '\n';
  }
  return text;
}

absl::Status Findings::ToStatus() const {
  if (items_.empty()) return absl::OkStatus();
  return absl::InvalidArgumentError(ToString());
}

}  // namespace millstair
