#include "server/command_line.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

TEST_CASE("Flags become overrides by settings key") {
  const CommandLine line = ParseCommandLine({"--settings", "f.yaml", "--peer-listen=127.0.0.1:1",
                                             "--timing-source-timeout", "2s", "--check"});
  CHECK(line.error.empty());
  CHECK(line.mode == ServerMode::kCheck);
  CHECK(line.settings_file == "f.yaml");
  CHECK(line.overrides ==
        SettingOverrides{{"peer.listen", "127.0.0.1:1"}, {"timing.source_timeout", "2s"}});
}

TEST_CASE("Unknown, abbreviated and repeated flags are errors") {
  CHECK_FALSE(ParseCommandLine({"--peer-lis", "127.0.0.1:1"}).error.empty());
  CHECK_FALSE(ParseCommandLine({"--unknown"}).error.empty());
  CHECK_FALSE(ParseCommandLine({"--settings"}).error.empty());
  CHECK_FALSE(ParseCommandLine({"f.yaml"}).error.empty());
  CHECK_FALSE(ParseCommandLine({"--node", "a", "--node", "b"}).error.empty());
  CHECK_FALSE(ParseCommandLine({"--check", "--initialize"}).error.empty());
  CHECK(ParseCommandLine({}).error.empty());
}

TEST_CASE("The help lists settings keys as flags") {
  const std::string help = HelpText();
  CHECK(help.find("--limits-http-body") != std::string::npos);
  CHECK(help.find("--control-nodes") != std::string::npos);
}

}  // namespace
}  // namespace millstair
