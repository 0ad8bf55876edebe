#include "ctl/commands.h"

#include <map>

#include "boost/json.hpp"
#include "ctl/resource_commands.h"
#include "ctl/table.h"
#include "fmt/format.h"
#include "fmt/ostream.h"
#include "yaml-cpp/yaml.h"

namespace millstair {
namespace {

namespace json = boost::json;

constexpr Duration kPollInterval = std::chrono::milliseconds(200);
constexpr Duration kWatchWait = std::chrono::seconds(3);

void PrintStatusTables(CommandContext& context, const json::object& page) {
  for (const auto& member : page) {
    if (!member.value().is_array()) {
      fmt::print(context.out, "{}: {}\n", std::string(member.key()), CellText(member.value()));
    }
  }
  for (const auto& member : page) {
    if (!member.value().is_array()) continue;
    fmt::print(context.out, "\n{}\n{}", std::string(member.key()),
               TableOf(member.value().get_array()));
  }
}

void PrintPage(CommandContext& context, const json::object& page) {
  switch (context.options.output) {
    case OutputFormat::kTable:
      return PrintStatusTables(context, page);
    case OutputFormat::kJson:
      fmt::print(context.out, "{}\n", json::serialize(page));
      return;
    case OutputFormat::kYaml: {
      YAML::Emitter out;
      out.SetMapFormat(YAML::Block);
      out << YAML::Load(json::serialize(page));
      fmt::print(context.out, "{}\n", out.c_str());
      return;
    }
  }
}

ExitCode RunStatus(CommandContext& context) {
  const absl::StatusOr<json::object> page = context.api.Status();
  if (!page.ok()) return ReportError(context, page.status());
  PrintPage(context, *page);
  return ExitCode::kOk;
}

ExitCode RunWait(CommandContext& context) {
  if (context.options.revision) {
    return WaitUntilApplied(context, Revision(*context.options.revision));
  }
  const absl::StatusOr<json::object> page = context.api.Status();
  if (!page.ok()) return ReportError(context, page.status());
  return WaitUntilApplied(context, RevisionOf(*page));
}

ExitCode RunWatch(CommandContext& context) {
  Revision seen;
  uint64_t printed = 0;
  while (context.options.count == 0 || printed < context.options.count) {
    const absl::StatusOr<Revision> revision = context.api.Watch(seen, kWatchWait);
    if (!revision.ok()) return ReportError(context, revision.status());
    if (*revision <= seen) continue;
    seen = *revision;
    ++printed;
    fmt::print(context.out, "revision {}\n", seen);
    context.out.flush();
  }
  return ExitCode::kOk;
}

ExitCode ReportReplicas(CommandContext& context, const absl::StatusOr<ChangeResult>& result) {
  if (!result.ok()) return ReportError(context, result.status());
  fmt::print(context.out, "done\n");
  return ExitCode::kOk;
}

ExitCode ListReplicas(CommandContext& context) {
  const absl::StatusOr<json::object> page = context.api.Status();
  if (!page.ok()) return ReportError(context, page.status());
  const json::value* groups = page->if_contains("groups");
  json::object part;
  if (groups != nullptr) part["groups"] = *groups;
  PrintPage(context, part);
  return ExitCode::kOk;
}

ExitCode RunReplicas(CommandContext& context) {
  const std::vector<std::string>& arguments = context.options.arguments;
  if (arguments.size() == 1 && arguments[0] == "list") return ListReplicas(context);
  if (arguments.size() == 4 && arguments[0] == "add") {
    uint64_t replica = 0;
    try {
      replica = std::stoull(arguments[3]);
    } catch (const std::exception&) {
      fmt::print(context.err, "replica '{}' is no number\n", arguments[3]);
      return ExitCode::kUsage;
    }
    return ReportReplicas(context, context.api.AddReplica(arguments[1], arguments[2], replica));
  }
  if (arguments.size() == 2 && arguments[0] == "remove") {
    return ReportReplicas(context, context.api.RemoveReplica(arguments[1]));
  }
  fmt::print(context.err, "replicas list | add NODE ADDRESS REPLICA | remove NODE\n");
  return ExitCode::kUsage;
}

ExitCode RunSuspects(CommandContext& context) {
  const std::vector<std::string>& arguments = context.options.arguments;
  if (arguments.size() == 1 && arguments[0] == "list") {
    const absl::StatusOr<json::object> page = context.api.Suspects();
    if (!page.ok()) return ReportError(context, page.status());
    PrintPage(context, *page);
    return ExitCode::kOk;
  }
  if (arguments.size() == 2 && arguments[0] == "lift") {
    const absl::StatusOr<ChangeResult> result = context.api.LiftSuspect(arguments[1]);
    if (!result.ok()) return ReportError(context, result.status());
    fmt::print(context.out, "lifted\n");
    return ExitCode::kOk;
  }
  fmt::print(context.err, "suspects list | lift REQUEST\n");
  return ExitCode::kUsage;
}

ExitCode RunEvacuate(CommandContext& context) {
  const std::vector<std::string>& arguments = context.options.arguments;
  if (arguments.size() == 1 && arguments[0] == "list") {
    const absl::StatusOr<json::object> page = context.api.Evacuations();
    if (!page.ok()) return ReportError(context, page.status());
    PrintPage(context, *page);
    return ExitCode::kOk;
  }
  const bool starts = arguments.size() == 2 && arguments[0] == "start";
  const bool stops = arguments.size() == 2 && arguments[0] == "stop";
  if (!starts && !stops) {
    fmt::print(context.err, "evacuate list | start ZONE | stop ZONE\n");
    return ExitCode::kUsage;
  }
  const absl::StatusOr<ChangeResult> result = context.api.Evacuate(arguments[1], starts);
  if (!result.ok()) return ReportError(context, result.status());
  fmt::print(context.out, "revision {}\n", result->revision);
  return ExitCode::kOk;
}

}  // namespace

ExitCode ReportError(CommandContext& context, const absl::Status& status) {
  fmt::print(context.err, "{}\n", std::string(status.message()));
  switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
      return ExitCode::kInvalid;
    case absl::StatusCode::kAborted:
      return ExitCode::kConflict;
    case absl::StatusCode::kNotFound:
      return ExitCode::kNotFound;
    case absl::StatusCode::kFailedPrecondition:
      return ExitCode::kRefused;
    default:
      return ExitCode::kUnanswered;
  }
}

ExitCode WaitUntilApplied(CommandContext& context, Revision revision) {
  std::vector<LaggingNode> lagging;
  do {
    const absl::StatusOr<std::vector<LaggingNode>> answer = context.api.Lagging(revision);
    if (!answer.ok()) return ReportError(context, answer.status());
    lagging = *answer;
    if (lagging.empty()) {
      fmt::print(context.out, "revision {} is in force on every node\n", revision);
      return ExitCode::kOk;
    }
    context.sleep(kPollInterval);
  } while (context.elapsed() < context.options.timeout);
  Table table({"NODE", "REVISION", "REASON"});
  for (const LaggingNode& node : lagging) {
    table.Add({node.node, fmt::format("{}", node.revision), node.reason});
  }
  fmt::print(context.err, "revision {} is not in force on:\n{}", revision, table.ToString());
  return ExitCode::kLagging;
}

ExitCode RunCommand(CommandContext& context) {
  using Handler = std::function<ExitCode(CommandContext&)>;
  static const std::map<std::string, Handler> handlers = {
      {"apply", RunApply},
      {"get", RunGet},
      {"delete", RunDelete},
      {"diff", RunDiff},
      {"validate", RunValidate},
      {"status", RunStatus},
      {"wait", RunWait},
      {"drain", [](CommandContext& each) { return RunDrain(each, true); }},
      {"undrain", [](CommandContext& each) { return RunDrain(each, false); }},
      {"watch", RunWatch},
      {"replicas", RunReplicas},
      {"suspects", RunSuspects},
      {"evacuate", RunEvacuate}};
  return handlers.at(context.options.command)(context);
}

}  // namespace millstair
