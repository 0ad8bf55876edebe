/// A temporary folder that is removed by the destructor.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace millstair::testing {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "millstair-test-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

}  // namespace millstair::testing
