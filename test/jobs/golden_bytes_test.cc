/// Commands and a snapshot written by the last build without paces of engines must still be decoded
/// with the same meaning, and this build must write the same bytes for them. Their bytes are in
/// test/jobs/golden.
#include <catch2/catch.hpp>
#include <fstream>
#include <string>

#include "jobs/job_state_machine.h"

namespace millstair {
namespace {

std::string Golden(const std::string& name) {
  std::ifstream file(std::string(MILLSTAIR_SOURCE_DIR) + "/test/jobs/golden/" + name + ".hex");
  std::string digits;
  REQUIRE(std::getline(file, digits));
  std::string bytes;
  constexpr int kBase = 16;
  for (size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, kBase));
  }
  return bytes;
}

constexpr const char* kCommands[] = {"command_submit", "command_save_progress",
                                     "command_record_result", "command_announce_order",
                                     "command_end_job"};

TEST_CASE("job commands of the earlier build are encoded as by it") {
  for (const char* name : kCommands) {
    const auto command = DecodeJobCommand(Golden(name));
    REQUIRE(command.ok());
    CHECK(EncodeJobCommand(*command) == Golden(name));
  }
}

TEST_CASE("job commands of the earlier build lead to its snapshot") {
  JobStateMachine state;
  uint64_t index = 0;
  for (const char* name : kCommands) state.Apply(LogIndex(++index), Golden(name));
  CHECK(state.TakeSnapshot() == Golden("snapshot"));
}

TEST_CASE("a job snapshot of the earlier build is restored without paces") {
  JobStateMachine state;
  REQUIRE(state.Restore(LogIndex(5), Golden("snapshot")).ok());
  const JobRecord* record = state.Find(JobId("a"));
  REQUIRE(record != nullptr);
  CHECK(record->spec.items.size() == 3);
  CHECK(record->results.at(0).text == "text");
  CHECK(record->progress.at(1).text == "x\ny");
  CHECK(state.announcements().size() == 1);
  CHECK(state.engine_paces().empty());
  CHECK(state.TakeSnapshot() == Golden("snapshot"));
}

// A replica of the earlier build does not decode a record of paces and skips it. Its jobs and its
// clock, and so the jobs that it removes, must stay those of the others.
TEST_CASE("a replica that skips the paces holds the same jobs") {
  JobStateMachine skips;
  JobStateMachine applies;
  uint64_t index = 0;
  for (const char* name : kCommands) {
    ++index;
    skips.Apply(LogIndex(index), Golden(name));
    applies.Apply(LogIndex(index), Golden(name));
    applies.Apply(LogIndex(index),
                  EncodeJobCommand({RecordEnginePaces{{{InstanceId("e"), Duration(40'000)}}},
                                    WallTime(std::chrono::hours(1))}));
  }
  CHECK(applies.engine_paces().size() == 1);
  applies.Apply(LogIndex(++index), EncodeJobCommand({RecordEnginePaces{}, {}}));
  CHECK(applies.TakeSnapshot() == skips.TakeSnapshot());
}

}  // namespace
}  // namespace millstair
