#include "ctl/resource_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "resources/resource_references.h"

namespace millstair {
namespace {

namespace fs = std::filesystem;

constexpr uintmax_t kMaxFileBytes = 16'000'000;

bool IsResourceFile(const fs::path& path) {
  const std::string extension = path.extension().string();
  return extension == ".yaml" || extension == ".yml" || extension == ".json";
}

std::vector<std::string> FilesOf(const std::string& path, Findings& findings) {
  std::error_code error;
  if (!fs::is_directory(path, error)) return {path};
  std::vector<std::string> files;
  for (const fs::directory_entry& entry : fs::recursive_directory_iterator(path, error)) {
    if (entry.is_regular_file() && IsResourceFile(entry.path())) {
      files.push_back(entry.path().string());
    }
  }
  if (error) findings.Add(Location{path}, error.message());
  if (files.empty()) findings.Add(Location{path}, "the folder holds no YAML or JSON file");
  std::sort(files.begin(), files.end());
  return files;
}

void ReadFile(const std::string& file, std::vector<ParsedResource>& resources, Findings& findings) {
  std::error_code error;
  const uintmax_t size = fs::file_size(file, error);
  std::ifstream stream(file, std::ios::binary);
  if (error || !stream) {
    findings.Add(Location{file}, "the file can't be read");
    return;
  }
  if (size > kMaxFileBytes) {
    findings.Add(Location{file}, "the file is larger than 16 MB");
    return;
  }
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  for (ParsedResource& parsed : ParseResources(file, text, findings)) {
    resources.push_back(std::move(parsed));
  }
}

}  // namespace

std::vector<ParsedResource> ReadResourceFiles(const std::vector<std::string>& paths,
                                              Findings& findings) {
  std::vector<ParsedResource> resources;
  for (const std::string& path : paths) {
    for (const std::string& file : FilesOf(path, findings)) ReadFile(file, resources, findings);
  }
  CheckDuplicates(resources, findings);
  return resources;
}

}  // namespace millstair
