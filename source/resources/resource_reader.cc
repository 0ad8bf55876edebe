// Parses resources from YAML and JSON.
#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "fmt/format.h"
#include "resources/resource_codec.h"
#include "resources/resource_fields.h"
#include "resources/resource_names.h"
#include "resources/scalar_text.h"
#include "resources/yaml_documents.h"

namespace millstair {
namespace {

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
  });
}

absl::Status CheckFreeText(std::string_view text) {
  if (text.empty()) return absl::InvalidArgumentError("must not be empty");
  if (HasControlCharacter(text)) {
    return absl::InvalidArgumentError("must not hold control characters");
  }
  return absl::OkStatus();
}

absl::Status CheckPathPrefix(std::string_view text) {
  if (text.empty() || text.front() != '/') {
    return absl::InvalidArgumentError(fmt::format("'{}' does not begin with '/'", text));
  }
  return CheckFreeText(text);
}

absl::Status CheckForm(TextForm form, std::string_view text) {
  switch (form) {
    case TextForm::kName:
      return CheckName(text);
    case TextForm::kOptionalName:
      return text.empty() ? absl::OkStatus() : CheckName(text);
    case TextForm::kIpNumber:
      return CheckIpNumber(text);
    case TextForm::kIpAndPort:
      return CheckIpAndPort(text);
    case TextForm::kOptionalIpAndPort:
      return text.empty() ? absl::OkStatus() : CheckIpAndPort(text);
    case TextForm::kHostName:
    case TextForm::kFreeText:
      return CheckFreeText(text);
    case TextForm::kPathPrefix:
      return CheckPathPrefix(text);
  }
  return absl::OkStatus();
}

SelectorRequirement ReadRequirement(const std::string& file, const YAML::Node& node,
                                    Findings& findings) {
  SelectorRequirement requirement;
  YamlFields fields(file, node, "match_expressions", findings);
  fields.Text("key", requirement.key, Presence::kRequired, CheckLabelKey);
  std::string op;
  fields.Text("operator", op, Presence::kRequired, {});
  fields.TextList("values", requirement.values, CheckLabelValue);
  fields.Finish();
  const std::optional<SelectorOperator> parsed = ParseSelectorOperator(op);
  if (!parsed) {
    fields.AddFinding(node,
                      fmt::format("operator '{}' is none of In, NotIn, Exists, DoesNotExist", op));
    return requirement;
  }
  requirement.op = *parsed;
  const bool takes_values = *parsed == SelectorOperator::kIn || *parsed == SelectorOperator::kNotIn;
  if (takes_values && requirement.values.empty()) {
    fields.AddFinding(node, fmt::format("operator {} needs values", op));
  } else if (!takes_values && !requirement.values.empty()) {
    fields.AddFinding(node, fmt::format("operator {} takes no values", op));
  }
  return requirement;
}

Selector ReadSelector(const std::string& file, const YAML::Node& node, const std::string& what,
                      Findings& findings) {
  Selector selector;
  YamlFields fields(file, node, what, findings);
  fields.TextMap("match_labels", selector.match_labels, CheckLabelKey, CheckLabelValue);
  const YAML::Node expressions = fields.Consume("match_expressions");
  if (expressions.IsDefined() && !expressions.IsSequence()) {
    fields.AddFinding(expressions, "'match_expressions' must be a list");
  } else if (expressions.IsDefined()) {
    for (const YAML::Node& item : expressions) {
      selector.match_expressions.push_back(ReadRequirement(file, item, findings));
    }
  }
  fields.Finish();
  return selector;
}

/// Visitor of VisitFields that reads a spec.
class SpecReader {
 public:
  SpecReader(std::string file, const YAML::Node& node, Findings& findings)
      : file_(std::move(file)), findings_(findings), fields_(file_, node, "spec", findings) {}

  void Text(const char* key, std::string& value, TextForm form, Presence presence) {
    fields_.Text(key, value, presence,
                 [form](std::string_view text) { return CheckForm(form, text); });
  }
  template <class Tag>
  void Text(const char* key, StrongId<Tag, std::string>& value, TextForm form, Presence presence) {
    std::string text = value.value();
    Text(key, text, form, presence);
    value = StrongId<Tag, std::string>(std::move(text));
  }
  void Flag(const char* key, bool& value) { fields_.Flag(key, value); }
  template <class Number>
  void Unsigned(const char* key, Number& value, Number min, Number max) {
    fields_.Unsigned(key, value, min, max);
  }
  void Double(const char* key, double& value, double min, double max) {
    fields_.Double(key, value, min, max);
  }
  void Bytes(const char* key, uint64_t& value, uint64_t min, uint64_t max) {
    fields_.Bytes(key, value, min, max);
  }
  void Time(const char* key, Duration& value, Duration min, Duration max) {
    fields_.Time(key, value, min, max);
  }
  void TextList(const char* key, std::vector<std::string>& value, TextForm form) {
    fields_.TextList(key, value, [form](std::string_view text) { return CheckForm(form, text); });
  }
  void Choice(const char* key, EngineType& value) {
    const auto check = [](std::string_view text) {
      if (ParseEngineType(text)) return absl::OkStatus();
      return absl::InvalidArgumentError(fmt::format("'{}' is none of model, http", text));
    };
    std::string text(EngineTypeName(value));
    fields_.Text(key, text, Presence::kOptional, check);
    value = ParseEngineType(text).value_or(value);
  }
  void OptionalSelector(const char* key, std::optional<Selector>& value) {
    const YAML::Node node = fields_.Consume(key);
    if (node.IsDefined()) value = ReadSelector(file_, node, fmt::format("'{}'", key), findings_);
  }
  void Finish() { fields_.Finish(); }

 private:
  std::string file_;
  Findings& findings_;
  YamlFields fields_;
};

/// nullopt if the kind is unknown, as the fields can't be checked then.
std::optional<Resource> ReadResource(const std::string& file, const YAML::Node& node,
                                     Findings& findings) {
  if (!node.IsMap()) {
    findings.Add(LocationOf(file, node), "a resource must be a mapping with kind, name and spec");
    return std::nullopt;
  }
  Resource resource;
  std::string kind_text;
  YamlFields fields(file, node, "the resource", findings);
  fields.Text("kind", kind_text, Presence::kRequired,
              [](std::string_view text) { return ParseKind(text).status(); });
  fields.Text("name", resource.name, Presence::kRequired, CheckName);
  fields.TextMap("labels", resource.labels, CheckLabelKey, CheckLabelValue);
  uint64_t version = 0;
  fields.Unsigned("version", version, 0, std::numeric_limits<uint64_t>::max());
  resource.version = Revision(version);
  const YAML::Node spec = fields.Consume("spec", Presence::kRequired);
  fields.Finish();
  const absl::StatusOr<ResourceKind> kind = ParseKind(kind_text);
  if (!kind.ok()) return std::nullopt;
  resource.spec = DefaultSpec(*kind);
  if (!spec.IsDefined()) return resource;
  SpecReader reader(file, spec, findings);
  std::visit([&](auto& typed) { VisitFields(reader, typed); }, resource.spec);
  reader.Finish();
  return resource;
}

void ReportDuplicates(const std::vector<ParsedResource>& resources, Findings& findings) {
  std::map<ResourceKey, Location> first;
  for (const ParsedResource& parsed : resources) {
    const auto [entry, added] = first.try_emplace(parsed.resource.key(), parsed.location);
    if (added) continue;
    findings.Add(parsed.location,
                 fmt::format("{} '{}' stands twice, first at {}", KindName(parsed.resource.kind()),
                             parsed.resource.name, entry->second.ToString()));
  }
}

/// Appends `found` sorted by location.
void AppendInOrder(const Findings& found, Findings& findings) {
  std::vector<Finding> ordered = found.items();
  std::stable_sort(ordered.begin(), ordered.end(), [](const Finding& a, const Finding& b) {
    return std::tie(a.location.line, a.location.column) <
           std::tie(b.location.line, b.location.column);
  });
  for (Finding& finding : ordered) findings.Add(finding.location, std::move(finding.message));
}

}  // namespace

std::vector<ParsedResource> ParseResources(const std::string& file, const std::string& text,
                                           Findings& findings) {
  std::vector<ParsedResource> resources;
  Findings found;
  for (const YAML::Node& document : LoadYamlDocuments(file, text, found)) {
    if (document.IsNull()) continue;
    std::optional<Resource> resource = ReadResource(file, document, found);
    if (resource) resources.push_back({*std::move(resource), LocationOf(file, document)});
  }
  ReportDuplicates(resources, found);
  AppendInOrder(found, findings);
  return resources;
}

absl::StatusOr<Resource> ResourceFromJson(const std::string& text) {
  Findings findings;
  std::vector<ParsedResource> resources = ParseResources("", text, findings);
  if (!findings.empty()) return findings.ToStatus();
  if (resources.size() != 1) {
    return absl::InvalidArgumentError(fmt::format("one resource is due, not {}", resources.size()));
  }
  return std::move(resources.front().resource);
}

}  // namespace millstair
