// Writes resources as JSON and YAML.
#include <algorithm>
#include <array>

#include "boost/json.hpp"
#include "common/units.h"
#include "fmt/format.h"
#include "resources/resource_codec.h"
#include "resources/resource_fields.h"
#include "resources/resource_names.h"

namespace millstair {
namespace {

namespace json = boost::json;

json::object LabelsToJson(const Labels& labels) {
  json::object object;
  for (const auto& [key, value] : labels) object[key] = value;
  return object;
}

json::array ListToJson(const std::vector<std::string>& items) {
  return json::array(items.begin(), items.end());
}

json::object RequirementToJson(const SelectorRequirement& requirement) {
  json::object object;
  object["key"] = requirement.key;
  object["operator"] = std::string(SelectorOperatorName(requirement.op));
  if (!requirement.values.empty()) object["values"] = ListToJson(requirement.values);
  return object;
}

json::object SelectorToJson(const Selector& selector) {
  json::object object;
  if (!selector.match_labels.empty()) {
    object["match_labels"] = LabelsToJson(selector.match_labels);
  }
  if (selector.match_expressions.empty()) return object;
  json::array expressions;
  for (const SelectorRequirement& requirement : selector.match_expressions) {
    expressions.push_back(RequirementToJson(requirement));
  }
  object["match_expressions"] = std::move(expressions);
  return object;
}

/// Visitor of VisitFields that writes every field.
class SpecWriter {
 public:
  void Text(const char* key, const std::string& value, TextForm, Presence presence) {
    if (presence == Presence::kRequired || !value.empty()) object_[key] = value;
  }
  template <class Tag>
  void Text(const char* key, const StrongId<Tag, std::string>& value, TextForm form,
            Presence presence) {
    Text(key, value.value(), form, presence);
  }
  void Flag(const char* key, bool value) { object_[key] = value; }
  template <class Number>
  void Unsigned(const char* key, Number value, Number, Number) {
    object_[key] = value;
  }
  void Double(const char* key, double value, double, double) { object_[key] = value; }
  void Bytes(const char* key, uint64_t value, uint64_t, uint64_t) {
    object_[key] = FormatSize(value);
  }
  void Time(const char* key, Duration value, Duration, Duration) {
    object_[key] = FormatDuration(value);
  }
  void TextList(const char* key, const std::vector<std::string>& value, TextForm) {
    if (!value.empty()) object_[key] = ListToJson(value);
  }
  void Choice(const char* key, EngineType value) {
    object_[key] = std::string(EngineTypeName(value));
  }
  void OptionalSelector(const char* key, const std::optional<Selector>& value) {
    if (value) object_[key] = SelectorToJson(*value);
  }
  json::object Finish() { return std::move(object_); }

 private:
  json::object object_;
};

json::object ResourceToJson(Resource resource) {
  json::object object;
  object["kind"] = std::string(KindName(resource.kind()));
  object["name"] = resource.name;
  if (!resource.labels.empty()) object["labels"] = LabelsToJson(resource.labels);
  if (resource.version.value() != 0) object["version"] = resource.version.value();
  SpecWriter writer;
  std::visit([&](auto& spec) { VisitFields(writer, spec); }, resource.spec);
  object["spec"] = writer.Finish();
  return object;
}

/// Whether YAML reads the bare word as the same text everywhere.
bool IsPlainWord(std::string_view text) {
  constexpr std::array<std::string_view, 8> kReserved = {"true", "false", "null", "yes",
                                                         "no",   "on",    "off",  "~"};
  if (text.empty() || std::find(kReserved.begin(), kReserved.end(), text) != kReserved.end()) {
    return false;
  }
  const auto letter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); };
  return (letter(text.front()) || text.front() == '/') &&
         std::all_of(text.begin(), text.end(), [&](char c) {
           return letter(c) || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-' ||
                  c == '/';
         });
}

void Emit(YAML::Emitter& out, const json::value& value);

void EmitText(YAML::Emitter& out, std::string_view text) {
  if (!IsPlainWord(text)) out << YAML::DoubleQuoted;
  out << std::string(text);
}

void EmitObject(YAML::Emitter& out, const json::object& object) {
  if (object.empty()) out << YAML::Flow;
  out << YAML::BeginMap;
  for (const auto& member : object) {
    out << YAML::Key;
    EmitText(out, {member.key().data(), member.key().size()});
    out << YAML::Value;
    Emit(out, member.value());
  }
  out << YAML::EndMap;
}

void EmitArray(YAML::Emitter& out, const json::array& array) {
  if (array.empty()) out << YAML::Flow;
  out << YAML::BeginSeq;
  for (const json::value& item : array) Emit(out, item);
  out << YAML::EndSeq;
}

void Emit(YAML::Emitter& out, const json::value& value) {
  switch (value.kind()) {
    case json::kind::object:
      return EmitObject(out, value.get_object());
    case json::kind::array:
      return EmitArray(out, value.get_array());
    case json::kind::string:
      return EmitText(out, {value.get_string().data(), value.get_string().size()});
    case json::kind::double_:
      out << fmt::format("{}", value.get_double());
      return;
    default:
      out << json::serialize(value);
  }
}

}  // namespace

std::string ToYaml(const Resource& resource) {
  YAML::Emitter out;
  Emit(out, ResourceToJson(resource));
  return std::string(out.c_str()) + "\n";
}

std::string ToJson(const Resource& resource) { return json::serialize(ResourceToJson(resource)); }

}  // namespace millstair
