#include "ctl/resource_commands.h"

#include <array>

#include "boost/json.hpp"
#include "ctl/apply_plan.h"
#include "ctl/resource_files.h"
#include "ctl/table.h"
#include "fmt/format.h"
#include "fmt/ostream.h"
#include "resources/resource_references.h"

namespace millstair {
namespace {

namespace json = boost::json;

constexpr std::array<ResourceKind, 8> kAllKinds = {
    ResourceKind::kMachine,      ResourceKind::kEngine, ResourceKind::kModel,
    ResourceKind::kAdapter,      ResourceKind::kPool,   ResourceKind::kStream,
    ResourceKind::kTrafficGroup, ResourceKind::kMatch};
constexpr int kMaxDrainAttempts = 5;

ExitCode Usage(CommandContext& context, std::string_view message) {
  fmt::print(context.err, "{}\n", message);
  return ExitCode::kUsage;
}

/// Reads the files of the command; false if they are invalid.
bool ReadFiles(CommandContext& context, std::vector<ParsedResource>& resources) {
  Findings findings;
  resources = ReadResourceFiles(context.options.files, findings);
  if (findings.empty()) return true;
  fmt::print(context.err, "{}", findings.ToString());
  return false;
}

std::vector<Resource> ResourcesOf(const std::vector<ParsedResource>& parsed) {
  std::vector<Resource> resources;
  resources.reserve(parsed.size());
  for (const ParsedResource& item : parsed) resources.push_back(item.resource);
  return resources;
}

absl::StatusOr<std::vector<Resource>> ListAll(ControlApi& api) {
  std::vector<Resource> all;
  for (const ResourceKind kind : kAllKinds) {
    absl::StatusOr<std::vector<Resource>> some = api.List(kind);
    if (!some.ok()) return some.status();
    all.insert(all.end(), some->begin(), some->end());
  }
  return all;
}

absl::StatusOr<std::vector<PlannedChange>> Plan(CommandContext& context,
                                                const std::vector<ParsedResource>& parsed) {
  const absl::StatusOr<std::vector<Resource>> stored = ListAll(context.api);
  if (!stored.ok()) return stored.status();
  return PlanApply(ResourcesOf(parsed), *stored);
}

void PrintPlan(CommandContext& context, const std::vector<PlannedChange>& plan, Revision revision) {
  if (context.options.output == OutputFormat::kTable) {
    for (const PlannedChange& change : plan) {
      fmt::print(context.out, "{}/{}: {}\n", KindName(change.desired.kind()), change.desired.name,
                 PlannedActionName(change.action));
    }
    fmt::print(context.out, "revision {}\n", revision);
    return;
  }
  json::array changes;
  for (const PlannedChange& change : plan) {
    changes.push_back(json::object{{"kind", std::string(KindName(change.desired.kind()))},
                                   {"name", change.desired.name},
                                   {"action", std::string(PlannedActionName(change.action))}});
  }
  const json::object page{{"revision", revision.value()}, {"changes", std::move(changes)}};
  fmt::print(context.out, "{}\n", json::serialize(page));
}

ExitCode ReportConflict(CommandContext& context, const ChangeResult& result) {
  fmt::print(context.err, "conflict: changed by someone else meanwhile; stored now:\n");
  for (const Resource& resource : result.conflicting) {
    fmt::print(context.err, "---\n{}", ToYaml(resource));
  }
  return ExitCode::kConflict;
}

void PrintResources(CommandContext& context, const std::vector<Resource>& resources, bool one) {
  switch (context.options.output) {
    case OutputFormat::kYaml:
      for (const Resource& resource : resources) {
        fmt::print(context.out, "---\n{}", ToYaml(resource));
      }
      return;
    case OutputFormat::kJson: {
      json::array array;
      for (const Resource& resource : resources) array.push_back(json::parse(ToJson(resource)));
      fmt::print(context.out, "{}\n",
                 one && !array.empty() ? json::serialize(array[0]) : json::serialize(array));
      return;
    }
    case OutputFormat::kTable:
      break;
  }
  Table table({"KIND", "NAME", "VERSION", "LABELS", "SPEC"});
  for (const Resource& resource : resources) {
    std::string labels;
    for (const auto& [key, value] : resource.labels) {
      labels += fmt::format("{}{}={}", labels.empty() ? "" : ",", key, value);
    }
    const json::value page = json::parse(ToJson(resource));
    table.Add({std::string(KindName(resource.kind())), resource.name,
               fmt::format("{}", resource.version), labels, json::serialize(page.at("spec"))});
  }
  fmt::print(context.out, "{}", table.ToString());
}

ExitCode FinishChange(CommandContext& context, Revision revision) {
  return context.options.wait ? WaitUntilApplied(context, revision) : ExitCode::kOk;
}

ExitCode DeleteOne(CommandContext& context, const ResourceKey& key) {
  std::optional<Revision> expected;
  if (context.options.revision) expected = Revision(*context.options.revision);
  const absl::StatusOr<ChangeResult> result = context.api.Delete(key, expected);
  if (!result.ok()) return ReportError(context, result.status());
  if (!result->conflicting.empty()) return ReportConflict(context, *result);
  fmt::print(context.out, "{}/{}: deleted\nrevision {}\n", KindName(key.kind), key.name,
             result->revision);
  return FinishChange(context, result->revision);
}

absl::StatusOr<ResourceKey> ParseTarget(const std::string& text) {
  const size_t slash = text.find('/');
  if (slash == std::string::npos) {
    return absl::InvalidArgumentError(fmt::format("'{}' is not Kind/name", text));
  }
  const absl::StatusOr<ResourceKind> kind = ParseKind(text.substr(0, slash));
  if (!kind.ok()) return kind.status();
  return ResourceKey{*kind, text.substr(slash + 1)};
}

/// False for kinds that have no `drain`.
bool SetDrain(Resource& resource, bool drain) {
  if (auto* machine = std::get_if<MachineSpec>(&resource.spec); machine != nullptr) {
    machine->drain = drain;
    return true;
  }
  if (auto* engine = std::get_if<EngineSpec>(&resource.spec); engine != nullptr) {
    engine->drain = drain;
    return true;
  }
  return false;
}

/// Reads, changes and writes a resource; retries if it was changed concurrently.
absl::StatusOr<ChangeResult> DrainOne(CommandContext& context, const ResourceKey& key, bool drain) {
  absl::StatusOr<ChangeResult> result;
  for (int attempt = 0; attempt < kMaxDrainAttempts; ++attempt) {
    absl::StatusOr<Resource> resource = context.api.Get(key);
    if (!resource.ok()) return resource.status();
    if (!SetDrain(*resource, drain)) {
      return absl::InvalidArgumentError("only a Machine or an Engine can be drained");
    }
    const Revision expected = resource->version;
    resource->version = Revision(0);
    result = context.api.Apply({{*resource, expected}});
    if (!result.ok() || result->conflicting.empty()) return result;
  }
  return result;
}

}  // namespace

ExitCode RunApply(CommandContext& context) {
  if (context.options.files.empty()) return Usage(context, "apply needs -f PATH");
  std::vector<ParsedResource> parsed;
  if (!ReadFiles(context, parsed)) return ExitCode::kInvalid;
  const absl::StatusOr<std::vector<PlannedChange>> plan = Plan(context, parsed);
  if (!plan.ok()) return ReportError(context, plan.status());
  const std::vector<ApplyItem> items = ItemsOf(*plan);
  Revision revision;
  if (items.empty()) {
    const absl::StatusOr<json::object> status = context.api.Status();
    if (!status.ok()) return ReportError(context, status.status());
    revision = RevisionOf(*status);
  } else {
    const absl::StatusOr<ChangeResult> result = context.api.Apply(items);
    if (!result.ok()) return ReportError(context, result.status());
    if (!result->conflicting.empty()) return ReportConflict(context, *result);
    revision = result->revision;
  }
  PrintPlan(context, *plan, revision);
  return FinishChange(context, revision);
}

ExitCode RunGet(CommandContext& context) {
  const std::vector<std::string>& arguments = context.options.arguments;
  if (arguments.size() > 2) return Usage(context, "get [KIND [NAME]]");
  if (arguments.empty()) {
    const absl::StatusOr<std::vector<Resource>> all = ListAll(context.api);
    if (!all.ok()) return ReportError(context, all.status());
    PrintResources(context, *all, false);
    return ExitCode::kOk;
  }
  const absl::StatusOr<ResourceKind> kind = ParseKind(arguments[0]);
  if (!kind.ok()) return Usage(context, std::string(kind.status().message()));
  if (arguments.size() == 2) {
    const absl::StatusOr<Resource> resource = context.api.Get({*kind, arguments[1]});
    if (!resource.ok()) return ReportError(context, resource.status());
    PrintResources(context, {*resource}, true);
    return ExitCode::kOk;
  }
  const absl::StatusOr<std::vector<Resource>> resources = context.api.List(*kind);
  if (!resources.ok()) return ReportError(context, resources.status());
  PrintResources(context, *resources, false);
  return ExitCode::kOk;
}

ExitCode RunDelete(CommandContext& context) {
  std::vector<ResourceKey> keys;
  if (!context.options.files.empty()) {
    std::vector<ParsedResource> parsed;
    if (!ReadFiles(context, parsed)) return ExitCode::kInvalid;
    for (const ParsedResource& item : parsed) keys.push_back(item.resource.key());
  } else if (context.options.arguments.size() == 2) {
    const absl::StatusOr<ResourceKind> kind = ParseKind(context.options.arguments[0]);
    if (!kind.ok()) return Usage(context, std::string(kind.status().message()));
    keys.push_back({*kind, context.options.arguments[1]});
  } else {
    return Usage(context, "delete needs KIND NAME or -f PATH");
  }
  for (const ResourceKey& key : keys) {
    const ExitCode code = DeleteOne(context, key);
    if (code != ExitCode::kOk) return code;
  }
  return ExitCode::kOk;
}

ExitCode RunDiff(CommandContext& context) {
  if (context.options.files.empty()) return Usage(context, "diff needs -f PATH");
  std::vector<ParsedResource> parsed;
  if (!ReadFiles(context, parsed)) return ExitCode::kInvalid;
  const absl::StatusOr<std::vector<PlannedChange>> plan = Plan(context, parsed);
  if (!plan.ok()) return ReportError(context, plan.status());
  bool different = false;
  for (const PlannedChange& change : *plan) {
    if (change.action == PlannedAction::kUnchanged) continue;
    different = true;
    fmt::print(context.out, "{}/{}: {}\n", KindName(change.desired.kind()), change.desired.name,
               PlannedActionName(change.action));
    for (const std::string& line : change.differences) fmt::print(context.out, "  {}\n", line);
  }
  return different ? ExitCode::kDifferent : ExitCode::kOk;
}

ExitCode RunValidate(CommandContext& context) {
  if (context.options.files.empty()) return Usage(context, "validate needs -f PATH");
  std::vector<ParsedResource> parsed;
  if (!ReadFiles(context, parsed)) return ExitCode::kInvalid;
  const Findings warnings = DanglingReferences(parsed);
  for (const Finding& warning : warnings.items()) {
    fmt::print(context.err, "warning: {}\n", warning.ToString());
  }
  fmt::print(context.out, "{} resources, 0 findings, {} warnings\n", parsed.size(),
             warnings.items().size());
  return ExitCode::kOk;
}

ExitCode RunDrain(CommandContext& context, bool drain) {
  if (context.options.arguments.empty()) return Usage(context, "drain needs KIND/NAME");
  Revision revision;
  for (const std::string& argument : context.options.arguments) {
    const absl::StatusOr<ResourceKey> key = ParseTarget(argument);
    if (!key.ok()) return Usage(context, std::string(key.status().message()));
    const absl::StatusOr<ChangeResult> result = DrainOne(context, *key, drain);
    if (!result.ok()) return ReportError(context, result.status());
    if (!result->conflicting.empty()) return ReportConflict(context, *result);
    revision = result->revision;
    fmt::print(context.out, "{}: {}\nrevision {}\n", argument, drain ? "draining" : "in use",
               revision);
  }
  return FinishChange(context, revision);
}

}  // namespace millstair
