/// Conversion of resources to and from the nanopb structs of api/cluster.proto.
#pragma once

#include "api/generated/cluster.pb.h"
#include "resources/resource.h"
#include "wire/nanopb_message.h"

namespace millstair {

millstair_Resource ToWire(WireArena& arena, const Resource& resource);
/// False if the message names no kind or an unknown enumerator; `resource` is then undefined.
bool FromWire(const millstair_Resource& wire, Resource& resource);

millstair_ResourceKey ToWire(WireArena& arena, const ResourceKey& key);
bool FromWire(const millstair_ResourceKey& wire, ResourceKey& key);

/// Array of strings for a `repeated string` field; `*count` is set to its length.
char** NewStrings(WireArena& arena, const std::vector<std::string>& strings, pb_size_t* count);
std::vector<std::string> StringsFromWire(char* const* strings, pb_size_t count);

/// Array of the wire forms of `values`; `*count` is set to its length.
template <class Wire, class Values>
Wire* NewWireArray(WireArena& arena, const Values& values, pb_size_t* count) {
  Wire* array = arena.NewArray<Wire>(values.size());
  size_t i = 0;
  for (const auto& value : values) array[i++] = ToWire(arena, value);
  *count = static_cast<pb_size_t>(values.size());
  return array;
}

/// Appends the values of a wire array; false at the first invalid one.
template <class Value, class Wire>
bool FromWireArray(const Wire* array, pb_size_t count, std::vector<Value>& values) {
  values.reserve(values.size() + count);
  for (pb_size_t i = 0; i < count; ++i) {
    Value value{};
    if (!FromWire(array[i], value)) return false;
    values.push_back(std::move(value));
  }
  return true;
}

}  // namespace millstair
