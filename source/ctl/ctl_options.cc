#include "ctl/ctl_options.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

#include "absl/strings/str_split.h"
#include "common/units.h"
#include "fmt/format.h"
#include "resources/scalar_text.h"
#include "resources/yaml_documents.h"
#include "resources/yaml_fields.h"

namespace millstair {
namespace {

namespace po = boost::program_options;

constexpr const char* kServersVariable = "MILLSTAIR_SERVERS";
constexpr const char* kSettingsVariable = "MILLSTAIRCTL_SETTINGS";
constexpr std::array<std::string_view, 13> kCommands = {
    "apply", "get",     "delete", "diff",     "validate", "status",  "wait",
    "drain", "undrain", "watch",  "replicas", "suspects", "evacuate"};

po::options_description VisibleOptions() {
  po::options_description options("Options");
  auto add = options.add_options();
  add("help,h", "print this page");
  add("server,s", po::value<std::vector<std::string>>(),
      "HTTP address ip:port of a control node; may be repeated, tried in turn");
  add("settings", po::value<std::string>(), "YAML file with a list `servers`");
  add("file,f", po::value<std::vector<std::string>>()->multitoken(),
      "resource files or folders (apply, delete, diff, validate)");
  add("output,o", po::value<std::string>()->default_value("table"), "table, json or yaml");
  add("timeout", po::value<std::string>()->default_value("30s"), "longest time for the command");
  add("revision", po::value<uint64_t>(),
      "wait: the revision (default: the newest); delete: the version that must be stored");
  add("wait", po::bool_switch(), "after a change: wait until it is in force on every node");
  add("count", po::value<uint64_t>()->default_value(0), "watch: stop after this many revisions");
  return options;
}

absl::StatusOr<OutputFormat> ParseOutput(const std::string& text) {
  if (text == "table") return OutputFormat::kTable;
  if (text == "json") return OutputFormat::kJson;
  if (text == "yaml") return OutputFormat::kYaml;
  return absl::InvalidArgumentError(fmt::format("output '{}' is none of table, json, yaml", text));
}

absl::StatusOr<std::vector<std::string>> FindServers(const po::variables_map& values) {
  if (values.count("server") > 0) return values["server"].as<std::vector<std::string>>();
  if (const char* listed = std::getenv(kServersVariable); listed != nullptr) {
    return std::vector<std::string>(absl::StrSplit(listed, ',', absl::SkipEmpty()));
  }
  if (values.count("settings") > 0) return ServersFromFile(values["settings"].as<std::string>());
  if (const char* path = std::getenv(kSettingsVariable); path != nullptr) {
    return ServersFromFile(path);
  }
  return std::vector<std::string>{};
}

po::variables_map ReadCommandLine(const std::vector<std::string>& arguments) {
  po::options_description all = VisibleOptions();
  all.add_options()("words", po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map values;
  po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), values);
  po::notify(values);
  return values;
}

absl::StatusOr<CtlOptions> FromValues(const po::variables_map& values) {
  CtlOptions options;
  options.help = values.count("help") > 0;
  if (options.help) return options;
  if (values.count("words") == 0) return absl::InvalidArgumentError("a command is missing");
  options.arguments = values["words"].as<std::vector<std::string>>();
  options.command = options.arguments.front();
  options.arguments.erase(options.arguments.begin());
  if (std::find(kCommands.begin(), kCommands.end(), options.command) == kCommands.end()) {
    return absl::InvalidArgumentError(fmt::format("unknown command '{}'", options.command));
  }
  const absl::StatusOr<OutputFormat> output = ParseOutput(values["output"].as<std::string>());
  if (!output.ok()) return output.status();
  options.output = *output;
  const absl::StatusOr<Duration> timeout = ParseDuration(values["timeout"].as<std::string>());
  if (!timeout.ok()) return timeout.status();
  options.timeout = *timeout;
  absl::StatusOr<std::vector<std::string>> servers = FindServers(values);
  if (!servers.ok()) return servers.status();
  options.servers = *std::move(servers);
  for (const std::string& server : options.servers) {
    const absl::Status status = CheckIpAndPort(server);
    if (!status.ok()) return status;
  }
  if (values.count("file") > 0) options.files = values["file"].as<std::vector<std::string>>();
  if (values.count("revision") > 0) options.revision = values["revision"].as<uint64_t>();
  options.wait = values["wait"].as<bool>();
  options.count = values["count"].as<uint64_t>();
  return options;
}

}  // namespace

absl::StatusOr<std::vector<std::string>> ServersFromFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) return absl::InvalidArgumentError(fmt::format("{}: can't be read", path));
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  Findings findings;
  const std::vector<YAML::Node> documents = LoadYamlDocuments(path, text, findings);
  if (!findings.empty()) return findings.ToStatus();
  if (documents.size() != 1) {
    return absl::InvalidArgumentError(fmt::format("{}: one YAML document is due", path));
  }
  std::vector<std::string> servers;
  YamlFields fields(path, documents.front(), "the settings", findings);
  fields.TextList("servers", servers, CheckIpAndPort);
  fields.Finish();
  if (!findings.empty()) return findings.ToStatus();
  return servers;
}

absl::StatusOr<CtlOptions> ParseCtlOptions(const std::vector<std::string>& arguments) {
  try {
    return FromValues(ReadCommandLine(arguments));
  } catch (const po::error& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

std::string CtlUsage() {
  std::ostringstream page;
  page << "millstairctl COMMAND [ARGUMENTS] [OPTIONS]\n\n"
          "  apply -f PATH...            create or change resources, all or none\n"
          "  get [KIND [NAME]]           show resources\n"
          "  delete KIND NAME | -f PATH  delete resources\n"
          "  diff -f PATH...             what apply would change\n"
          "  validate -f PATH...         check files, without a server\n"
          "  status                      nodes, engines, models, replica groups\n"
          "  wait [--revision N]         until a revision is in force on every node\n"
          "  drain KIND/NAME...          no new work for a Machine or Engine\n"
          "  undrain KIND/NAME...        the opposite\n"
          "  watch                       print each new revision\n"
          "  replicas list | add NODE ADDRESS REPLICA | remove NODE\n"
          "  suspects list | lift REQUEST  requests under which back ends ended\n"
          "  evacuate list | start ZONE | stop ZONE  zones whose back ends get nothing\n\n"
       << VisibleOptions()
       << "\nServers come from --server, else MILLSTAIR_SERVERS (comma-separated), else the "
          "settings "
          "file\n(--settings or MILLSTAIRCTL_SETTINGS).\n\n"
          "Exit codes: 0 done, 1 diff found differences, 2 wrong command line, 3 invalid input,\n"
          "4 conflict, 5 not found, 6 no answer (a change may have been made), 7 refused (no "
          "change\n"
          "was made), 8 wait: some node lacks the revision.\n";
  return page.str();
}

}  // namespace millstair
