/// Checks that docs/EVENTS.md matches the catalogue of events.
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "common/event_log.h"

namespace millstair {
namespace {

std::string ReadEventsPage() {
  std::ifstream file(std::string(MILLSTAIR_SOURCE_DIR) + "/docs/EVENTS.md");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string> CatalogueRows() {
  std::set<std::string> rows;
  const char* levels[] = {"debug", "info", "warning", "error"};
#define MILLSTAIR_EVENT(name, number, level, meaning)                                         \
  rows.insert("| " #number " | " #name " | " +                                                \
              std::string(levels[static_cast<int>(EventLevel::k##level)]) + " | " + meaning + \
              " |");
#include "common/event_ids.inc"
#undef MILLSTAIR_EVENT
  return rows;
}

TEST_CASE("docs/EVENTS.md lists each event of the catalogue and no other") {
  const std::set<std::string> expected = CatalogueRows();
  std::set<std::string> listed;
  std::istringstream page(ReadEventsPage());
  for (std::string line; std::getline(page, line);) {
    if (line.size() > 2 && line.substr(0, 2) == "| " && isdigit(line[2])) listed.insert(line);
  }
  for (const std::string& row : expected) {
    INFO("missing in docs/EVENTS.md (scripts/generate-events writes it): " << row);
    CHECK(listed.count(row) == 1);
  }
  for (const std::string& row : listed) {
    INFO("not in the catalogue: " << row);
    CHECK(expected.count(row) == 1);
  }
}

}  // namespace
}  // namespace millstair
