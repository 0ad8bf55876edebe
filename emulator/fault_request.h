/// Body of POST /fault: {"kind":"crash","restart_after_ms":500}.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "common/time.h"

namespace millstair {

/// A fault to inject into a stand-in. Members that its kind does not use are ignored.
struct FaultRequest {
  /// Engines and plain servers: "crash", "restart", "drain", "undrain". Engines:
  /// "fail-next-activation", "step-time". Plain servers: "chances". Stores: "down", "up". Machine
  /// list: "machine".
  std::string kind;
  /// "crash": delay until the automatic restart; 0 for none.
  Duration restart_after{0};
  /// "step-time".
  Duration base{0};
  Duration per_sequence{0};
  Duration per_prefill_token{0};
  /// "chances": in thousandths.
  uint32_t refusal_permille = 0;
  uint32_t cut_answer_permille = 0;
  /// "machine": address and "live", "leaving" or "gone".
  std::string address;
  std::string state;
};

/// InvalidArgument, with a message that names every invalid member.
absl::StatusOr<FaultRequest> DecodeFaultRequest(std::string_view json);

}  // namespace millstair
