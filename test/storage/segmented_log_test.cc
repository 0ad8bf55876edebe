#include "storage/segmented_log.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>

#include "common/random.h"
#include "common/virtual_environment.h"
#include "storage/log_record.h"
#include "storage/memory_file_system.h"

namespace millstair {
namespace {

using std::chrono::seconds;

const std::string kFolder = "groups/g";

LogEntry Entry(uint64_t index, uint64_t term, std::string payload) {
  return {LogIndex(index), Term(term), EntryType::kCommand,
          std::make_shared<std::string>(std::move(payload))};
}

struct Store {
  explicit Store(uint64_t seed = 1, LogOptions log_options = {})
      : scheduler(seed),
        environment(std::make_unique<VirtualEnvironment>(scheduler, seed)),
        files(*environment, seed),
        options(log_options) {
    Open();
  }

  void Open() {
    auto opened = SegmentedLog::Open(files, kFolder, options);
    status = opened.status();
    if (opened.ok()) log = *std::move(opened);
  }
  /// Simulates a crash and a restart of the process.
  void Restart(bool crash = true) {
    log.reset();
    environment->Kill();
    environment = std::make_unique<VirtualEnvironment>(scheduler, 1);
    if (crash) files.Crash();
    files.Attach(*environment);
    Open();
  }
  void Settle() {
    log->Flush();
    scheduler.RunFor(seconds(1));
  }
  std::string Payload(uint64_t index) {
    auto entries = log->Read(LogIndex(index), LogIndex(index), 0);
    return entries.ok() ? *entries->front().payload : entries.status().ToString();
  }

  VirtualScheduler scheduler;
  std::unique_ptr<VirtualEnvironment> environment;
  MemoryFileSystem files;
  LogOptions options;
  std::unique_ptr<SegmentedLog> log;
  absl::Status status;
};

TEST_CASE("appends share syncs (group commit)") {
  Store store;
  const uint64_t before = store.files.syncs();
  for (uint64_t i = 1; i <= 50; ++i) store.log->Append({Entry(i, 1, "x")});
  store.log->Flush();
  store.log->Append({Entry(51, 1, "x")});
  store.Settle();
  REQUIRE(store.log->durable_index() == LogIndex(51));
  REQUIRE(store.files.syncs() - before == 2);
}

TEST_CASE("durable entries and hard state survive a crash") {
  Store store;
  store.log->SaveHardState({Term(3), ReplicaId(7)});
  store.log->Append({Entry(1, 3, "one"), Entry(2, 3, "two")});
  store.Settle();
  store.log->Append({Entry(3, 3, "three")});
  REQUIRE(store.log->durable_index() == LogIndex(2));
  store.Restart();
  REQUIRE(store.status.ok());
  REQUIRE(store.log->hard_state() == HardState{Term(3), ReplicaId(7)});
  REQUIRE(store.log->last_index() == LogIndex(2));
  REQUIRE(store.Payload(2) == "two");
}

TEST_CASE("a suffix is replaced, also across a restart") {
  Store store;
  store.log->Append({Entry(1, 1, "a"), Entry(2, 1, "b"), Entry(3, 1, "c")});
  store.Settle();
  store.log->Append({Entry(2, 2, "B")});
  REQUIRE(store.log->last_index() == LogIndex(2));
  REQUIRE(store.log->durable_index() == LogIndex(1));
  store.Settle();
  store.Restart();
  REQUIRE(store.log->last_index() == LogIndex(2));
  REQUIRE(store.log->TermAt(LogIndex(2)) == Term(2));
  REQUIRE(store.Payload(2) == "B");
}

TEST_CASE("payloads beyond the cache are read from disk, over many segments") {
  LogOptions options;
  options.segment_bytes = 1000;
  options.cache_bytes = 300;
  Store store(1, options);
  for (uint64_t i = 1; i <= 200; ++i) {
    store.log->Append({Entry(i, 1, "payload " + std::to_string(i))});
    store.Settle();
  }
  for (const bool restart : {false, true}) {
    if (restart) store.Restart();
    auto entries = store.log->Read(LogIndex(1), LogIndex(200), 1 << 20);
    REQUIRE(entries->size() == 200);
    for (uint64_t i = 1; i <= 200; ++i) {
      REQUIRE(*(*entries)[i - 1].payload == "payload " + std::to_string(i));
    }
    REQUIRE(store.log->Read(LogIndex(1), LogIndex(200), 130)->size() == 5);
  }
}

TEST_CASE("a replica that reads a long log from disk does not read each entry by itself") {
  LogOptions options;
  options.segment_bytes = 1000;
  options.cache_bytes = 0;
  Store store(1, options);
  for (uint64_t i = 1; i <= 200; ++i) {
    store.log->Append({Entry(i, 1, "payload " + std::to_string(i))});
    store.log->SaveHardState({Term(1), ReplicaId(i)});
    store.Settle();
  }
  // Replaced entries leave records that are not part of the log between those that are.
  store.log->Append({Entry(196, 2, "replaced")});
  store.log->Append({Entry(197, 2, "replaced")});
  store.Settle();
  store.Restart();
  const uint64_t reads_before = store.files.range_reads();
  const auto entries = store.log->Read(LogIndex(1), LogIndex(197), 1 << 20);
  REQUIRE(entries.ok());
  REQUIRE(entries->size() == 197);
  for (uint64_t i = 1; i < 196; ++i) {
    REQUIRE(*(*entries)[i - 1].payload == "payload " + std::to_string(i));
  }
  CHECK(*(*entries)[195].payload == "replaced");
  CHECK(*(*entries)[196].payload == "replaced");
  const auto segments = store.files.List(kFolder);
  REQUIRE(segments.ok());
  CHECK(store.files.range_reads() - reads_before <= segments->size() + 1);
}

TEST_CASE("a record that is damaged on disk is named by its own offset when it is read in a run") {
  LogOptions options;
  options.cache_bytes = 0;
  Store store(1, options);
  for (uint64_t i = 1; i <= 20; ++i) store.log->Append({Entry(i, 1, "payload")});
  store.Settle();
  const std::string path = store.files.Paths().front();
  const std::string bytes = *store.files.Read(path);
  const size_t damaged = bytes.rfind("payload", bytes.size() / 2);
  REQUIRE(store.files.Damage(path, damaged, 1).ok());
  const auto entries = store.log->Read(LogIndex(1), LogIndex(20), 1 << 20);
  REQUIRE(absl::IsDataLoss(entries.status()));
  const size_t start = damaged - kEntryPrefixBytes - kRecordHeaderBytes;
  CHECK(entries.status().message() == path + ": damaged at offset " + std::to_string(start));
  // Entries before it can still be read, one by one too.
  CHECK(store.log->Read(LogIndex(1), LogIndex(20), 0)->size() == 1);
}

TEST_CASE("a snapshot allows covered segments to be removed and survives a restart") {
  LogOptions options;
  options.segment_bytes = 500;
  Store store(1, options);
  for (uint64_t i = 1; i <= 100; ++i) {
    store.log->Append({Entry(i, 1, "payload")});
    store.Settle();
  }
  const size_t files_before = store.files.Paths().size();
  std::optional<absl::Status> saved;
  store.log->SaveSnapshot({LogIndex(90), Term(1)}, {"state"},
                          [&](const absl::Status& status) { saved = status; });
  store.Settle();
  REQUIRE(saved.has_value());
  REQUIRE(saved->ok());
  store.log->Compact(LogIndex(80));
  REQUIRE(store.log->base_index() == LogIndex(80));
  REQUIRE(store.files.Paths().size() < files_before / 2);
  store.Restart();
  REQUIRE(store.status.ok());
  REQUIRE(store.log->last_index() == LogIndex(100));
  REQUIRE(store.log->ReadSnapshot()->state == "state");
  REQUIRE(store.log->snapshot() == LogPosition{LogIndex(90), Term(1)});
}

TEST_CASE("a snapshot from the leader replaces a log that lacks it") {
  Store store;
  store.log->Append({Entry(1, 1, "a"), Entry(2, 1, "b")});
  store.Settle();
  store.log->SaveSnapshot({LogIndex(50), Term(4)}, {"far"}, [](const absl::Status&) {});
  store.Settle();
  REQUIRE(store.log->base_index() == LogIndex(50));
  store.log->Append({Entry(51, 4, "next")});
  store.Settle();
  store.Restart();
  REQUIRE(store.status.ok());
  REQUIRE(store.log->last_index() == LogIndex(51));
  REQUIRE(store.log->TermAt(LogIndex(50)) == Term(4));
}

TEST_CASE("any damaged byte of an acknowledged log is refused with file and offset") {
  for (uint64_t offset = 0; offset < 400; ++offset) {
    Store store;
    store.log->SaveHardState({Term(2), ReplicaId(1)});
    for (uint64_t i = 1; i <= 10; ++i) store.log->Append({Entry(i, 2, "payload")});
    store.Settle();
    const std::string path = store.files.Paths().front();
    REQUIRE(store.files.Read(path)->size() > 400);
    REQUIRE(store.files.Damage(path, offset, 0x20).ok());
    store.Restart();
    REQUIRE(absl::IsDataLoss(store.status));
    REQUIRE(store.status.message().find(path) != std::string::npos);
    REQUIRE(store.status.message().find("offset") != std::string::npos);
  }
}

TEST_CASE("a missing segment and a damaged snapshot are refused") {
  LogOptions options;
  options.segment_bytes = 100;
  Store store(1, options);
  for (uint64_t i = 1; i <= 20; ++i) {
    store.log->Append({Entry(i, 1, "payload")});
    store.Settle();
  }
  SECTION("segment") {
    const auto paths = store.files.Paths();
    REQUIRE(store.files.Remove(paths[paths.size() / 2]).ok());
    store.Restart();
    REQUIRE(absl::IsDataLoss(store.status));
  }
  SECTION("snapshot") {
    store.log->SaveSnapshot({LogIndex(10), Term(1)}, {"state"}, [](const absl::Status&) {});
    store.Settle();
    for (const std::string& path : store.files.Paths()) {
      if (path.find("snapshot") == std::string::npos) continue;
      REQUIRE(store.files.Damage(path, store.files.Read(path)->size() - 2, 1).ok());
    }
    store.Restart();
    REQUIRE(absl::IsDataLoss(store.status));
    REQUIRE(store.status.message().find("snapshot-") != std::string::npos);
  }
}

TEST_CASE("a batch whose sectors were not written is torn, not damaged") {
  Store store;
  store.log->Append({Entry(1, 1, std::string(2000, 'a'))});
  store.Settle();
  store.log->Append({Entry(2, 1, std::string(2000, 'b')), Entry(3, 1, std::string(2000, 'c'))});
  store.Settle();
  const std::string path = store.files.Paths().front();
  std::string bytes = *store.files.Read(path);
  const size_t second = bytes.find("bbb") / 512 * 512 + 1024;
  SECTION("in the last batch") {
    bytes.replace(second, 512, 512, '\0');
    REQUIRE(store.files.WriteAtomically(path, bytes).ok());
    store.Restart();
    REQUIRE(store.status.ok());
    REQUIRE(store.log->last_index() == LogIndex(1));
  }
  SECTION("in a batch that was durable when the next one was written") {
    bytes.replace(512, 512, 512, '\0');
    REQUIRE(store.files.WriteAtomically(path, bytes).ok());
    store.Restart();
    REQUIRE(absl::IsDataLoss(store.status));
  }
}

TEST_CASE("a failed sync stops the log for good") {
  Store store;
  std::optional<absl::Status> failure;
  store.log->OnDurable([&](const absl::Status& status) { failure = status; });
  store.files.FailNextSyncs(1);
  store.log->Append({Entry(1, 1, "a")});
  store.Settle();
  REQUIRE(failure.has_value());
  REQUIRE_FALSE(failure->ok());
  store.log->Append({Entry(2, 1, "b")});
  store.Settle();
  REQUIRE(store.log->durable_index() == LogIndex(0));
}

/// Compares a log under random operations and crashes with a model of its contents.
class ModelRun {
 public:
  explicit ModelRun(uint64_t seed) : random_(seed), store_(seed, SmallSegments()) { Watch(); }

  void Step() {
    switch (DrawBelow(random_, 12)) {
      case 0:
        return Crash();
      case 1:
        return Snapshot();
      case 2:
        return Replace();
      case 3:
        ++term_;
        return store_.log->SaveHardState({Term(term_), ReplicaId(term_ % 5)});
      case 4:
        return store_.log->Compact(LogIndex(DrawBelow(random_, snapshot_ + 1)));
      default:
        Append();
        store_.scheduler.RunFor(std::chrono::microseconds(DrawBelow(random_, 600)));
    }
  }

 private:
  static LogOptions SmallSegments() {
    LogOptions options;
    options.segment_bytes = 400;
    options.cache_bytes = 200;
    return options;
  }
  void Watch() {
    store_.log->OnDurable([this](const absl::Status& status) { REQUIRE(status.ok()); });
  }
  uint64_t last() const { return store_.log->last_index().value(); }
  void Append() {
    const uint64_t index = last() + 1;
    const std::string payload(DrawBelow(random_, 60), static_cast<char>('a' + index % 26));
    model_[index] = payload;
    store_.log->Append({Entry(index, term_, payload)});
    store_.log->Flush();
  }
  void Replace() {
    // Only entries that no snapshot covers may be replaced.
    if (last() <= snapshot_ || saving_) return;
    const uint64_t index = snapshot_ + 1 + DrawBelow(random_, last() - snapshot_);
    ++term_;
    model_.erase(model_.lower_bound(index), model_.end());
    model_[index] = "replaced" + std::to_string(term_);
    store_.log->Append({Entry(index, term_, model_[index])});
    store_.log->Flush();
  }
  void Snapshot() {
    if (store_.log->saving_snapshot() || last() <= snapshot_) return;
    const uint64_t index = snapshot_ + 1 + DrawBelow(random_, last() - snapshot_);
    const LogPosition position{LogIndex(index), *store_.log->TermAt(LogIndex(index))};
    saving_ = true;
    store_.log->SaveSnapshot(position, {"state" + std::to_string(index)},
                             [this, index](const absl::Status& status) {
                               REQUIRE(status.ok());
                               saving_ = false;
                               snapshot_ = index;
                             });
  }
  void Crash() {
    const uint64_t durable = store_.log->durable_index().value();
    const Term durable_term = store_.log->TermAt(LogIndex(durable)).value_or(Term());
    store_.Restart();
    INFO(store_.status);
    REQUIRE(store_.status.ok());
    REQUIRE(store_.log->snapshot().index.value() >= snapshot_);
    snapshot_ = store_.log->snapshot().index.value();
    saving_ = false;
    if (snapshot_ > 0) {
      REQUIRE(store_.log->ReadSnapshot()->state == "state" + std::to_string(snapshot_));
    }
    REQUIRE(store_.log->hard_state().term <= Term(term_));
    CheckEntries(durable, durable_term);
    Watch();
  }
  /// Checks that durable entries are present, unless a pending replacement became durable.
  void CheckEntries(uint64_t durable, Term durable_term) {
    const bool replaced =
        last() < durable || (store_.log->TermAt(LogIndex(durable)).has_value() &&
                             store_.log->TermAt(LogIndex(durable)) > durable_term);
    if (!replaced) REQUIRE(last() >= durable);
    const uint64_t checked = std::min(last(), durable);
    for (uint64_t index = store_.log->base_index().value() + 1; index <= checked; ++index) {
      REQUIRE(store_.Payload(index) == model_[index]);
    }
    // For entries that were not durable, the model adopts the contents of the log.
    model_.erase(model_.upper_bound(last()), model_.end());
    for (uint64_t index = durable + 1; index <= last(); ++index) {
      model_[index] = store_.Payload(index);
    }
  }

  RandomEngine random_;
  Store store_;
  std::map<uint64_t, std::string> model_;
  uint64_t term_ = 1;
  uint64_t snapshot_ = 0;
  bool saving_ = false;
};

TEST_CASE("random operations and crashes preserve durable entries") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    ModelRun run(seed);
    for (int step = 0; step < 300; ++step) run.Step();
  }
}

TEST_CASE("arbitrary bytes never crash the decoders of log files") {
  RandomEngine random(5);
  for (int round = 0; round < 3000; ++round) {
    std::string bytes(DrawBelow(random, 200), '\0');
    for (char& byte : bytes) byte = static_cast<char>(DrawBelow(random, 256));
    const auto scan = ScanSegment("f", bytes, 1, false);
    REQUIRE((bytes.empty() || !scan.ok()));
    REQUIRE_FALSE(DecodeSnapshotFile("f", bytes).ok());
    (void)DecodeEntryPrefix(bytes);
    (void)DecodeHardState(bytes);
  }
}

}  // namespace
}  // namespace millstair
