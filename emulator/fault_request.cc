#include "emulator/fault_request.h"

#include "engine/json_reader.h"

namespace millstair {
namespace {

Duration ReadMilliseconds(JsonReader& reader, std::string_view name) {
  uint32_t count = 0;
  reader.ReadOptional(name, count);
  return std::chrono::milliseconds(count);
}

Duration ReadMicroseconds(JsonReader& reader, std::string_view name) {
  uint32_t count = 0;
  reader.ReadOptional(name, count);
  return Duration(count);
}

}  // namespace

absl::StatusOr<FaultRequest> DecodeFaultRequest(std::string_view json) {
  JsonReader reader("fault", json);
  FaultRequest fault;
  reader.Read("kind", fault.kind);
  fault.restart_after = ReadMilliseconds(reader, "restart_after_ms");
  fault.base = ReadMicroseconds(reader, "base_us");
  fault.per_sequence = ReadMicroseconds(reader, "per_sequence_us");
  fault.per_prefill_token = ReadMicroseconds(reader, "per_prefill_token_us");
  reader.ReadOptional("refusal_permille", fault.refusal_permille);
  reader.ReadOptional("cut_answer_permille", fault.cut_answer_permille);
  reader.ReadOptional("address", fault.address);
  reader.ReadOptional("state", fault.state);
  if (absl::Status status = reader.status(); !status.ok()) return status;
  return fault;
}

}  // namespace millstair
