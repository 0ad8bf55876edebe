#include "emulator/engine_service.h"

#include <charconv>
#include <utility>

#include "emulator/kv_codec.h"
#include "emulator/model/http_answers.h"
#include "emulator/truth_json.h"
#include "engine/engine_codec.h"
#include "engine/order_status.h"
#include "http/outcome.h"
#include "http/problem.h"

namespace millstair {
namespace {

uint64_t NumberOf(std::string_view text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Sends a problem response for an error status.
void RespondStatus(ResponseWriter& writer, const absl::Status& status) {
  const bool partial = absl::IsAborted(status);
  RespondProblem(writer, {.status = HttpStatusOfOrder(status),
                          .title = partial ? "Swap failed" : "Refused",
                          .detail = std::string(status.message()),
                          .outcome = partial ? Outcome::kRan : Outcome::kNotRun});
}

}  // namespace

/// A response stream; buffers chunks while the caller reads slowly.
class EngineService::Generation : public GenerateObserver {
 public:
  Generation(EngineService& service, uint64_t id, WriterPointer writer)
      : service_(service), id_(id), writer_(std::move(writer)) {}

  void OnChunk(const GenerateChunk& chunk) override {
    if (!head_sent_) {
      head_sent_ = true;
      writer_->SendHead({200, {{"Content-Type", "application/x-ndjson"}}});
    }
    pending_ += EncodeGenerateChunk(chunk);
    pending_ += '\n';
    finished_ = chunk.finished;
    if (finished_) generation_ = GenerationId();
    SendPending();
  }

  void OnFailed(CallFailure failure, bool leaving, const std::string& reason) override {
    generation_ = GenerationId();
    const WriterPointer writer = writer_;
    service_.generations_.erase(id_);
    if (failure == CallFailure::kRefused) return RespondNotRun(writer, 503, leaving, reason);
    writer->Abort();
  }

  void SendPending() {
    const size_t size = std::min(writer_->WritableBytes(), pending_.size());
    if (size == pending_.size()) {
      writer_->SendBody(std::exchange(pending_, {}));
    } else if (size > 0) {
      writer_->SendBody(pending_.substr(0, size));
      pending_.erase(0, size);
    }
    if (!finished_ || !pending_.empty()) return;
    const WriterPointer writer = writer_;
    service_.generations_.erase(id_);
    writer->Finish();
  }

  void set_generation(GenerationId generation) { generation_ = generation; }
  /// 0 once the generation has ended.
  GenerationId generation() const { return generation_; }

 private:
  EngineService& service_;
  const uint64_t id_;
  const WriterPointer writer_;
  GenerationId generation_;
  bool head_sent_ = false;
  bool finished_ = false;
  std::string pending_;
};

EngineService::EngineService(Environment& environment, EngineModel& engine)
    : environment_(environment), engine_(engine) {}

EngineService::~EngineService() {
  for (const auto& [id, generation] : generations_) engine_.Cancel(generation->generation());
}

void EngineService::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  if (HandleHook(request, writer)) return;
  if (!engine_.running()) return writer->Abort();
  const std::string_view path = PathOf(request.target);
  if (path == "/v1/generate") return HandleGenerate(request, writer);
  if (path == "/v1/orders") return HandleOrder(request, writer);
  if (path == "/v1/report") return HandleReport(writer);
  if (path == "/v1/cache-events") return HandleCacheEvents(request, writer);
  if (path == "/v1/kv/export") return HandleKvExport(request, writer);
  RespondNotFound(writer, path);
}

bool EngineService::HandleHook(const HttpRequest& request, const WriterPointer& writer) {
  const std::string_view path = PathOf(request.target);
  if (path == "/truth") {
    HandleTruth(request, writer);
  } else if (path == "/fault") {
    HandleFault(request, writer);
  } else if (path == "/livez") {
    RespondJson(writer, "{}");
  } else {
    return false;
  }
  return true;
}

void EngineService::HandleGenerate(const HttpRequest& request, const WriterPointer& writer) {
  absl::StatusOr<GenerateRequest> decoded = DecodeGenerateRequest(request.body.str());
  if (!decoded.ok()) return RespondStatus(*writer, decoded.status());
  const uint64_t id = next_generation_++;
  auto generation = std::make_shared<Generation>(*this, id, writer);
  generations_[id] = generation;
  const std::weak_ptr<Generation> weak = generation;
  writer->OnCallerDisconnected([this, id, weak, alive = std::weak_ptr<char>(alive_)] {
    const std::shared_ptr<Generation> disconnected = weak.lock();
    if (alive.expired() || disconnected == nullptr) return;
    engine_.Cancel(disconnected->generation());
    generations_.erase(id);
  });
  writer->OnWritable([weak] {
    if (const std::shared_ptr<Generation> waiting = weak.lock()) waiting->SendPending();
  });
  generation->set_generation(engine_.Generate(*std::move(decoded), *generation));
}

void EngineService::HandleOrder(const HttpRequest& request, const WriterPointer& writer) {
  const absl::StatusOr<EngineOrder> order = DecodeEngineOrder(request.body.str());
  if (!order.ok()) return RespondStatus(*writer, order.status());
  engine_.ApplyOrder(
      *order, [this, writer, alive = std::weak_ptr<char>(alive_)](const absl::Status& status) {
        if (alive.expired() || !engine_.running()) return writer->Abort();
        if (status.ok()) return RespondJson(writer, "{}");
        RespondStatus(*writer, status);
      });
}

void EngineService::HandleReport(const WriterPointer& writer) {
  const absl::StatusOr<EngineReport> report = engine_.Report();
  if (!report.ok()) return RespondStatus(*writer, report.status());
  RespondJson(writer, EncodeEngineReport(*report));
}

void EngineService::HandleCacheEvents(const HttpRequest& request, const WriterPointer& writer) {
  const uint64_t after = NumberOf(QueryParameter(request.target, "after"));
  const bool resync = QueryParameter(request.target, "resync") == "1";
  const absl::StatusOr<CacheEvents> events = engine_.CacheEventsAfter(after, resync);
  if (!events.ok()) return RespondStatus(*writer, events.status());
  RespondJson(writer, EncodeCacheEvents(*events));
}

void EngineService::HandleKvExport(const HttpRequest& request, const WriterPointer& writer) {
  const absl::StatusOr<std::vector<BlockHash>> blocks = DecodeBlockList(request.body.str());
  if (!blocks.ok()) return RespondStatus(*writer, blocks.status());
  const absl::StatusOr<KvExport> exported = engine_.ExportKv(*blocks);
  if (!exported.ok()) return RespondStatus(*writer, exported.status());
  RespondJson(writer, EncodeKvExport(*exported));
}

void EngineService::HandleTruth(const HttpRequest& request, const WriterPointer& writer) {
  const std::string request_id(QueryParameter(request.target, "request"));
  const bool counts_only = QueryParameter(request.target, "counts") == "1";
  RespondJson(writer, EngineTruthJson(engine_, request_id, counts_only));
}

void EngineService::HandleFault(const HttpRequest& request, const WriterPointer& writer) {
  const absl::StatusOr<FaultRequest> fault = DecodeFaultRequest(request.body.str());
  const absl::Status status = fault.ok() ? Apply(*fault) : fault.status();
  if (!status.ok()) return RespondStatus(*writer, status);
  RespondJson(writer, "{}");
}

absl::Status EngineService::Apply(const FaultRequest& fault) {
  if (fault.kind == "crash") {
    engine_.Crash();
    if (fault.restart_after > Duration(0)) {
      environment_.Schedule(fault.restart_after, [this, alive = std::weak_ptr<char>(alive_)] {
        if (!alive.expired()) engine_.Restart();
      });
    }
  } else if (fault.kind == "restart") {
    engine_.Restart();
  } else if (fault.kind == "drain") {
    engine_.Drain();
  } else if (fault.kind == "undrain") {
    engine_.Undrain();
  } else if (fault.kind == "fail-next-activation") {
    engine_.FailNextActivation();
  } else if (fault.kind == "step-time") {
    engine_.SetStepTime({fault.base, fault.per_sequence, fault.per_prefill_token});
  } else {
    return absl::InvalidArgumentError("fault: kind: unknown to an engine: " + fault.kind);
  }
  return absl::OkStatus();
}

}  // namespace millstair
