#include "emulator/platform_services.h"

#include <utility>

#include "emulator/model/http_answers.h"
#include "emulator/truth_json.h"

namespace millstair {
namespace {

constexpr double kPermille = 1000.0;

}  // namespace

void TestHookService::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  const std::string_view path = PathOf(request.target);
  if (path == "/truth") return RespondJson(writer, TruthJson());
  if (path != "/fault") return model_.Handle(std::move(request), std::move(writer));
  const absl::StatusOr<FaultRequest> fault = DecodeFaultRequest(request.body.str());
  const absl::Status status = fault.ok() ? Apply(*fault) : fault.status();
  if (status.ok()) return RespondJson(writer, "{}");
  RespondNotRun(writer, 400, false, std::string(status.message()));
}

absl::Status TestHookService::Apply(const FaultRequest& fault) {
  return absl::InvalidArgumentError("fault: kind: unknown here: " + fault.kind);
}

std::string PlainService::TruthJson() const { return PlainTruthJson(model_); }

absl::Status PlainService::Apply(const FaultRequest& fault) {
  if (fault.kind == "crash") {
    model_.Crash();
    if (fault.restart_after > Duration(0)) {
      environment_.Schedule(fault.restart_after, [this, alive = std::weak_ptr<char>(alive_)] {
        if (!alive.expired()) model_.Restart();
      });
    }
  } else if (fault.kind == "restart") {
    model_.Restart();
  } else if (fault.kind == "drain") {
    model_.Drain();
  } else if (fault.kind == "undrain") {
    model_.Undrain();
  } else if (fault.kind == "chances") {
    options_.refusal = fault.refusal_permille / kPermille;
    options_.cut_answer = fault.cut_answer_permille / kPermille;
    model_.SetOptions(options_);
  } else {
    return TestHookService::Apply(fault);
  }
  return absl::OkStatus();
}

std::string StoreService::TruthJson() const { return StoreTruthJson(model_); }

absl::Status StoreService::Apply(const FaultRequest& fault) {
  if (fault.kind != "down" && fault.kind != "up") return TestHookService::Apply(fault);
  model_.SetAvailable(fault.kind == "up");
  return absl::OkStatus();
}

absl::Status MachinesService::Apply(const FaultRequest& fault) {
  if (fault.kind != "machine") return TestHookService::Apply(fault);
  const absl::StatusOr<MachineState> state = MachineStateFromName(fault.state);
  if (!state.ok()) return state.status();
  model_.SetState(fault.address, *state);
  return absl::OkStatus();
}

absl::StatusOr<MachineState> MachineStateFromName(std::string_view name) {
  if (name == "live") return MachineState::kLive;
  if (name == "leaving") return MachineState::kLeaving;
  if (name == "gone") return MachineState::kGone;
  return absl::InvalidArgumentError("machine state: must be live, leaving or gone: " +
                                    std::string(name));
}

}  // namespace millstair
