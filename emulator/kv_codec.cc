#include "emulator/kv_codec.h"

#include <utility>

#include "boost/json.hpp"
#include "engine/json_reader.h"

namespace millstair {

std::string EncodeKvExport(const KvExport& exported) {
  boost::json::array blocks;
  for (const BlockHash block : exported.blocks) blocks.emplace_back(HashToHex(block));
  return boost::json::serialize(boost::json::object{{"incarnation", exported.incarnation.value()},
                                                    {"model", exported.model.value()},
                                                    {"version", exported.version.value()},
                                                    {"blocks", std::move(blocks)}});
}

absl::StatusOr<KvExport> DecodeKvExport(std::string_view json) {
  JsonReader reader("KV export", json);
  KvExport exported;
  reader.Read("incarnation", exported.incarnation);
  reader.Read("model", exported.model);
  reader.Read("version", exported.version);
  reader.ReadHashes("blocks", exported.blocks);
  if (absl::Status status = reader.status(); !status.ok()) return status;
  return exported;
}

}  // namespace millstair
