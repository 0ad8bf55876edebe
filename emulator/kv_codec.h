/// JSON of KV exports: {"incarnation","model","version","blocks":["<hex>"]}.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "emulator/model/engine_model.h"

namespace millstair {

std::string EncodeKvExport(const KvExport& exported);
absl::StatusOr<KvExport> DecodeKvExport(std::string_view json);

}  // namespace millstair
