#include "resources/yaml_documents.h"

#include <sstream>

#include "yaml-cpp/eventhandler.h"

namespace millstair {
namespace {

/// Throws if the parser makes no progress: yaml-cpp 0.7 yields empty documents endlessly after a
/// token that can't start a document.
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
