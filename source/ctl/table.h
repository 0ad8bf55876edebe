/// Plain text tables.
#pragma once

#include <string>
#include <vector>

#include "boost/json.hpp"

namespace millstair {

/// Columns are as wide as their widest cell, two spaces apart.
class Table {
 public:
  explicit Table(std::vector<std::string> heading) : rows_{std::move(heading)} {}
  /// Missing cells are empty; cells beyond the heading are dropped.
  void Add(std::vector<std::string> row);
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// One table for a JSON array of objects: a column per key, in order of first appearance.
std::string TableOf(const boost::json::array& objects);

/// Text of a JSON value in a cell: strings without quotes, others as JSON.
std::string CellText(const boost::json::value& value);

}  // namespace millstair
