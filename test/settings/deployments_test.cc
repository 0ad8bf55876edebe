#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "settings/settings.h"

namespace millstair {
namespace {

TEST_CASE("The settings of both deployments are valid") {
  namespace fs = std::filesystem;
  size_t files = 0;
  for (const char* deployment : {"association", "khosa"}) {
    const fs::path folder = fs::path(MILLSTAIR_SOURCE_DIR) / "deploy" / deployment / "settings";
    for (const fs::directory_entry& entry : fs::directory_iterator(folder)) {
      std::ifstream stream(entry.path());
      const std::string text(std::istreambuf_iterator<char>(stream), {});
      Findings findings;
      const ServerSettings settings = ReadSettings(entry.path(), text, {}, findings);
      INFO(findings.ToString());
      CHECK(findings.empty());
      CHECK(settings.node == entry.path().stem());
      CHECK(settings.control_nodes.size() == 3);
      CHECK_FALSE(settings.routes.empty());
      ++files;
    }
  }
  CHECK(files == 12);
}

}  // namespace
}  // namespace millstair
