#include "simulator/clients/span_json.h"

#include <cstdlib>

namespace millstair::simulator {

uint64_t NumberIn(const boost::json::object& object, const char* field) {
  const boost::json::value* value = object.if_contains(field);
  if (value == nullptr) return 0;
  if (value->is_uint64()) return value->as_uint64();
  if (value->is_int64() && value->as_int64() >= 0) {
    return static_cast<uint64_t>(value->as_int64());
  }
  // Numbers above 2^53 are encoded as strings.
  if (value->is_string()) return std::strtoull(value->as_string().c_str(), nullptr, 10);
  return 0;
}

std::string TextIn(const boost::json::object& object, const char* field) {
  const boost::json::value* value = object.if_contains(field);
  if (value == nullptr || !value->is_string()) return {};
  return std::string(value->as_string());
}

std::vector<checks::ClaimedSpan> ReadSpans(const boost::json::value* spans) {
  std::vector<checks::ClaimedSpan> read;
  if (spans == nullptr || !spans->is_array()) return read;
  for (const boost::json::value& value : spans->as_array()) {
    if (!value.is_object()) continue;
    const boost::json::object& span = value.as_object();
    read.push_back({WeightVersion(NumberIn(span, "version")), WeightDigest(TextIn(span, "digest")),
                    Incarnation(NumberIn(span, "engine_incarnation")),
                    static_cast<uint32_t>(NumberIn(span, "first_token")),
                    static_cast<uint32_t>(NumberIn(span, "token_count"))});
  }
  return read;
}

}  // namespace millstair::simulator
