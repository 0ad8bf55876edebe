/// Times admission, frame decoding and log appends.
#include <benchmark/benchmark.h>

#include "common/virtual_environment.h"
#include "limits/admission.h"
#include "storage/memory_file_system.h"
#include "storage/segmented_log.h"
#include "transport/frame.h"

namespace millstair {
namespace {

void MeasureAdmission(benchmark::State& state) {
  VirtualScheduler scheduler(1);
  VirtualEnvironment environment(scheduler, 2);
  AdmissionController controller(environment, AdmissionLimits{});
  for (auto _ : state) {
    AdmissionResult result =
        controller.Admit(RequestPriority::kLive, environment.Now() + std::chrono::seconds(30), {});
    if (result.refused.has_value()) state.SkipWithError("refused with free slots");
    benchmark::DoNotOptimize(result);
  }
}
BENCHMARK(MeasureAdmission);

void MeasureFrameDecode(benchmark::State& state) {
  const std::string frame = EncodeFrame(static_cast<uint8_t>(MessageKind::kHeartbeat),
                                        std::string(static_cast<size_t>(state.range(0)), 'x'));
  FrameReader reader(1 << 20);
  for (auto _ : state) {
    reader.Add(frame);
    const auto decoded = reader.Next();
    if (!decoded.has_value()) state.SkipWithError("no frame was decoded");
  }
  state.SetBytesProcessed(state.iterations() * static_cast<int64_t>(frame.size()));
}
BENCHMARK(MeasureFrameDecode)->Arg(200)->Arg(64 * 1024);

void MeasureLogAppend(benchmark::State& state) {
  VirtualScheduler scheduler(1);
  VirtualEnvironment environment(scheduler, 2);
  MemoryFileSystem files(environment, 3);
  auto log = SegmentedLog::Open(files, "log");
  if (!log.ok()) {
    state.SkipWithError("cannot open the log");
    return;
  }
  uint64_t index = 0;
  const auto payload =
      std::make_shared<const std::string>(static_cast<size_t>(state.range(0)), 'x');
  for (auto _ : state) {
    LogEntry entry;
    entry.index = LogIndex(++index);
    entry.term = Term(1);
    entry.type = EntryType::kCommand;
    entry.payload = payload;
    (*log)->Append({entry});
    (*log)->Flush();
    scheduler.Run(4);
  }
  if ((*log)->last_index() != LogIndex(index)) state.SkipWithError("entries are missing");
}
BENCHMARK(MeasureLogAppend)->Arg(200)->Arg(4096)->Iterations(20000);

}  // namespace
}  // namespace millstair
