#include "storage/posix_file_system.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <optional>

#include "storage/segmented_log.h"

namespace millstair {
namespace {

/// Runs all functions inline, since the tests do not cover threading.
BackgroundExecutor Inline() {
  const auto run = [](const std::function<void()>& function) { function(); };
  return {run, run};
}

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "millstair-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

TEST_CASE("a data folder is locked against a second user") {
  TemporaryFolder folder;
  const std::string path = folder.path() + "/deep/data";
  auto first = PosixFileSystem::Open(path, Inline());
  REQUIRE(first.ok());
  const auto second = PosixFileSystem::Open(path, Inline());
  REQUIRE(absl::IsFailedPrecondition(second.status()));
  REQUIRE(second.status().message().find(path) != std::string::npos);
  first->reset();
  REQUIRE(PosixFileSystem::Open(path, Inline()).ok());
}

TEST_CASE("files are appended, replaced, truncated, listed and removed") {
  TemporaryFolder folder;
  auto files = *PosixFileSystem::Open(folder.path(), Inline());
  {
    auto file = *files->OpenAppend("a/b/log");
    REQUIRE(file->Append("hello ").ok());
    REQUIRE(file->Append("world").ok());
    std::optional<absl::Status> synced;
    file->Sync([&](const absl::Status& status) { synced = status; });
    REQUIRE(synced.has_value());
    REQUIRE(synced->ok());
    REQUIRE(file->Size() == 11);
  }
  REQUIRE((*files->OpenAppend("a/b/log"))->Size() == 11);
  REQUIRE(*files->Read("a/b/log") == "hello world");
  REQUIRE(*files->ReadRange("a/b/log", 6, 5) == "world");
  REQUIRE(absl::IsOutOfRange(files->ReadRange("a/b/log", 6, 6).status()));
  REQUIRE((*files->OpenAppend("a/b/log"))->Truncate(5).ok());
  REQUIRE(*files->Read("a/b/log") == "hello");
  REQUIRE(files->WriteAtomically("a/one", "1").ok());
  REQUIRE(files->WriteAtomically("a/one", "2").ok());
  REQUIRE(*files->Read("a/one") == "2");
  REQUIRE(*files->List("a") == std::vector<std::string>{"b", "one"});
  REQUIRE(files->Remove("a/one").ok());
  REQUIRE(absl::IsNotFound(files->Read("a/one").status()));
  REQUIRE(absl::IsNotFound(files->Remove("a/one")));
  REQUIRE(files->List("missing")->empty());
}

TEST_CASE("a log on real files is recovered after it was closed") {
  TemporaryFolder folder;
  const auto payload = [](int i) { return std::make_shared<std::string>(std::to_string(i)); };
  LogOptions options;
  options.segment_bytes = 500;
  for (int round = 0; round < 3; ++round) {
    auto files = *PosixFileSystem::Open(folder.path(), Inline());
    auto log = SegmentedLog::Open(*files, "groups/x", options);
    REQUIRE(log.ok());
    REQUIRE((*log)->last_index() == LogIndex(static_cast<uint64_t>(round) * 50));
    for (int i = 0; i < 50; ++i) {
      const LogIndex next = Next((*log)->last_index());
      (*log)->Append({{next, Term(1), EntryType::kCommand, payload(i)}});
      (*log)->Flush();
    }
    REQUIRE((*log)->durable_index() == (*log)->last_index());
  }
}

}  // namespace
}  // namespace millstair
