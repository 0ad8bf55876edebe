#include "server/command_line.h"

#include <boost/program_options.hpp>
#include <sstream>

#include "fmt/format.h"
#include "settings/settings_schema.h"

namespace millstair {
namespace {

namespace options = boost::program_options;

options::options_description ModeOptions() {
  options::options_description description("Modes");
  description.add_options()("settings,s", options::value<std::string>()->value_name("FILE"),
                            "settings file (YAML)")(
      "check", "report all problems in the settings without starting the node")(
      "initialize", "write the identity of an initial member into the data folder")(
      "describe-settings", "print all settings keys as a Markdown table")(
      "version", "print the version")("help,h", "print this help");
  return description;
}

options::options_description SettingOptions() {
  options::options_description description("Settings (each overrides the file)");
  for (const SettingKey& key : SettingKeys()) {
    const std::string text =
        fmt::format("{}; {}; default {}", key.description, KindText(key.kind), DefaultText(key));
    description.add_options()(FlagName(key.key).c_str(),
                              options::value<std::string>()->value_name("VALUE"), text.c_str());
  }
  return description;
}

ServerMode ModeOf(const options::variables_map& values, std::string* error) {
  struct ModeFlag {
    const char* name;
    ServerMode mode;
  };
  constexpr ModeFlag kFlags[] = {{"help", ServerMode::kHelp},
                                 {"version", ServerMode::kVersion},
                                 {"describe-settings", ServerMode::kDescribeSettings},
                                 {"check", ServerMode::kCheck},
                                 {"initialize", ServerMode::kInitialize}};
  ServerMode mode = ServerMode::kRun;
  for (const ModeFlag& flag : kFlags) {
    if (values.count(flag.name) == 0) continue;
    if (mode != ServerMode::kRun)
      *error = fmt::format("--{} can't be combined with another mode", flag.name);
    mode = flag.mode;
  }
  return mode;
}

}  // namespace

CommandLine ParseCommandLine(const std::vector<std::string>& arguments) {
  CommandLine line;
  options::options_description all;
  all.add(ModeOptions()).add(SettingOptions());
  options::variables_map values;
  try {
    const options::positional_options_description none;
    // Abbreviated flags are rejected: a truncated flag could set another key.
    const int style =
        options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
    options::store(
        options::command_line_parser(arguments).options(all).positional(none).style(style).run(),
        values);
  } catch (const options::error& error) {
    line.error = error.what();
    return line;
  }
  line.mode = ModeOf(values, &line.error);
  if (values.count("settings") > 0) line.settings_file = values["settings"].as<std::string>();
  for (const SettingKey& key : SettingKeys()) {
    const std::string flag = FlagName(key.key);
    if (values.count(flag) == 0) continue;
    line.overrides.emplace(std::string(key.key), values[flag].as<std::string>());
  }
  return line;
}

std::string HelpText() {
  std::ostringstream text;
  text << "millstaird: a node of millstair.\n\nUsage: millstaird --settings FILE [flags]\n\n"
       << ModeOptions() << "\n"
       << SettingOptions();
  return text.str();
}

}  // namespace millstair
