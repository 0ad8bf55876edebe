#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "common/units.h"
#include "fmt/format.h"
#include "resources/resource_codec.h"
#include "resources/resource_fields.h"
#include "resources/resource_names.h"

namespace millstair {
namespace {

/// Visitor of VisitFields that renders the first four cells of each field's row.
class RowWriter {
 public:
  void Text(const char* key, const std::string& value, TextForm form, Presence presence) {
    std::string shown = value.empty() ? "empty" : value;
    if (presence == Presence::kRequired) shown = "required";
    Add(key, FormName(form), shown, "-");
  }
  template <class Tag>
  void Text(const char* key, const StrongId<Tag, std::string>& value, TextForm form,
            Presence presence) {
    Text(key, value.value(), form, presence);
  }
  void Flag(const char* key, bool value) {
    Add(key, "true or false", value ? "true" : "false", "-");
  }
  template <class Number>
  void Unsigned(const char* key, Number value, Number min, Number max) {
    Add(key, "whole number", fmt::format("{}", value), fmt::format("{} to {}", min, max));
  }
  void Double(const char* key, double value, double min, double max) {
    Add(key, "number", fmt::format("{}", value), fmt::format("{} to {}", min, max));
  }
  void Bytes(const char* key, uint64_t value, uint64_t min, uint64_t max) {
    Add(key, "size", FormatSize(value), fmt::format("{} to {}", FormatSize(min), FormatSize(max)));
  }
  void Time(const char* key, Duration value, Duration min, Duration max) {
    Add(key, "duration", FormatDuration(value),
        fmt::format("{} to {}", FormatDuration(min), FormatDuration(max)));
  }
  void TextList(const char* key, const std::vector<std::string>&, TextForm) {
    Add(key, "list of hosts", "empty", "-");
  }
  void Choice(const char* key, EngineType value) {
    Add(key, "model or http", std::string(EngineTypeName(value)), "-");
  }
  void OptionalSelector(const char* key, const std::optional<Selector>&) {
    Add(key, "selector", "missing", "-");
  }

  std::vector<std::string> rows;

 private:
  static std::string FormName(TextForm form) {
    switch (form) {
      case TextForm::kName:
        return "name";
      case TextForm::kOptionalName:
        return "name or empty";
      case TextForm::kIpNumber:
        return "IP number";
      case TextForm::kIpAndPort:
        return "ip:port";
      case TextForm::kOptionalIpAndPort:
        return "ip:port or empty";
      case TextForm::kPathPrefix:
        return "path";
      case TextForm::kHostName:
        return "host";
      case TextForm::kFreeText:
        return "text";
    }
    return "";
  }
  void Add(const char* key, const std::string& form, const std::string& value,
           const std::string& bounds) {
    rows.push_back(fmt::format("| `{}` | {} | {} | {} |", key, form, value, bounds));
  }
};

/// The section "## <kind>" of the page.
std::string SectionOf(const std::string& page, std::string_view kind) {
  const std::string heading = fmt::format("\n## {}\n", kind);
  const size_t begin = page.find(heading);
  if (begin == std::string::npos) return "";
  return page.substr(begin, page.find("\n## ", begin + heading.size()) - begin);
}

TEST_CASE("docs/CONFIGURATION.md matches the fields of every kind") {
  std::ifstream stream(std::string(MILLSTAIR_SOURCE_DIR) + "/docs/CONFIGURATION.md");
  const std::string page(std::istreambuf_iterator<char>(stream), {});
  for (int i = 0; i < 8; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    const std::string section = SectionOf(page, KindName(kind));
    RowWriter writer;
    ResourceSpec spec = DefaultSpec(kind);
    std::visit([&](auto& typed) { VisitFields(writer, typed); }, spec);
    for (const std::string& row : writer.rows) {
      INFO(KindName(kind) << ": " << row);
      CHECK(section.find(row) != std::string::npos);
    }
    size_t rows = 0;
    for (size_t at = section.find("\n| `"); at != std::string::npos;
         at = section.find("\n| `", at + 1)) {
      ++rows;
    }
    INFO(KindName(kind));
    CHECK(rows == writer.rows.size());
  }
}

}  // namespace
}  // namespace millstair
