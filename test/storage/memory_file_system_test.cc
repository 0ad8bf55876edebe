#include "storage/memory_file_system.h"

#include <catch2/catch.hpp>
#include <optional>

#include "common/virtual_environment.h"

namespace millstair {
namespace {

struct Disk {
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 1};
  MemoryFileSystem files{environment, 1};
};

TEST_CASE("synced bytes survive a crash, later ones at most as a prefix") {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    VirtualScheduler scheduler(1);
    VirtualEnvironment environment(scheduler, 1);
    MemoryFileSystem files(environment, seed);
    auto file = files.OpenAppend("folder/log");
    REQUIRE((*file)->Append("durable").ok());
    bool synced = false;
    (*file)->Sync([&](absl::Status status) { synced = status.ok(); });
    REQUIRE((*file)->Append("unsynced").ok());
    scheduler.RunFor(std::chrono::seconds(1));
    REQUIRE(synced);
    environment.Kill();
    files.Crash();
    const std::string survived = *files.Read("folder/log");
    REQUIRE(survived.substr(0, 7) == "durable");
    REQUIRE(std::string("durableunsynced").substr(0, survived.size()) == survived);
    REQUIRE_FALSE((*file)->Append("late").ok());
  }
}

TEST_CASE("a failed sync returns an error and leaves the bytes unsynced") {
  Disk disk;
  auto file = disk.files.OpenAppend("log");
  REQUIRE((*file)->Append("abc").ok());
  disk.files.FailNextSyncs(1);
  std::optional<absl::Status> result;
  (*file)->Sync([&](absl::Status status) { result = status; });
  disk.scheduler.RunFor(std::chrono::seconds(1));
  REQUIRE(result.has_value());
  REQUIRE_FALSE(result->ok());
}

TEST_CASE("folders list their names once, sorted") {
  Disk disk;
  REQUIRE(disk.files.CreateFolder("groups/b").ok());
  REQUIRE(disk.files.WriteAtomically("groups/a/one", "1").ok());
  REQUIRE(disk.files.WriteAtomically("groups/a/two", "2").ok());
  REQUIRE(*disk.files.List("groups") == std::vector<std::string>{"a", "b"});
  REQUIRE(*disk.files.List("groups/a") == std::vector<std::string>{"one", "two"});
  REQUIRE(disk.files.List("missing")->empty());
  REQUIRE(disk.files.Read("missing").status().code() == absl::StatusCode::kNotFound);
}

TEST_CASE("a lost disk is empty") {
  Disk disk;
  REQUIRE(disk.files.WriteAtomically("identity", "x").ok());
  disk.files.LoseDisk();
  REQUIRE(disk.files.Paths().empty());
}

}  // namespace
}  // namespace millstair
