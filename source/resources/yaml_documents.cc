#include "resources/yaml_documents.h"

#include <sstream>

#include "yaml-cpp/eventhandler.h"

namespace millstair {
namespace {

/// Watches that the parser moves on. yaml-cpp 0.7 yields empty documents without end when a token
/// stands where no document can begin.
class ProgressCheck : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& mark) override {
    if (mark.pos == last_start_) throw YAML::ParserException(mark, "unexpected token");
    last_start_ = mark.pos;
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t,
                const std::string&) override {}
  void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}

 private:
  int last_start_ = -1;
};

void CheckProgress(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  ProgressCheck check;
  while (parser.HandleNextDocument(check)) {
  }
}

}  // namespace

std::vector<YAML::Node> LoadYamlDocuments(const std::string& file, const std::string& text,
                                          Findings& findings) {
  try {
    CheckProgress(text);
    return YAML::LoadAll(text);
  } catch (const YAML::Exception& error) {
    const Location location = error.mark.is_null()
                                  ? Location{file, 0, 0}
                                  : Location{file, error.mark.line + 1, error.mark.column + 1};
    findings.Add(location, error.msg);
  }
  return {};
}

}  // namespace millstair
