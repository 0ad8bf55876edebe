#include "ctl/table.h"

#include <algorithm>

#include "fmt/format.h"

namespace millstair {

namespace json = boost::json;

void Table::Add(std::vector<std::string> row) {
  row.resize(rows_.front().size());
  rows_.push_back(std::move(row));
}

std::string Table::ToString() const {
  std::vector<size_t> widths(rows_.front().size(), 0);
  for (const std::vector<std::string>& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) line += fmt::format("{:<{}}  ", row[i], widths[i]);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string CellText(const json::value& value) {
  if (value.is_string()) return std::string(value.get_string());
  return value.is_null() ? "" : json::serialize(value);
}

std::string TableOf(const json::array& objects) {
  std::vector<std::string> keys;
  for (const json::value& object : objects) {
    if (!object.is_object()) continue;
    for (const auto& member : object.get_object()) {
      const std::string key(member.key());
      if (std::find(keys.begin(), keys.end(), key) == keys.end()) keys.push_back(key);
    }
  }
  if (keys.empty()) return "(none)\n";
  Table table(keys);
  for (const json::value& object : objects) {
    if (!object.is_object()) continue;
    std::vector<std::string> row;
    for (const std::string& key : keys) {
      const json::value* cell = object.get_object().if_contains(key);
      row.push_back(cell == nullptr ? "" : CellText(*cell));
    }
    table.Add(std::move(row));
  }
  return table.ToString();
}

}  // namespace millstair
