/// Weight version spans in the JSON of the product's HTTP APIs.
#pragma once

#include <vector>

#include "boost/json.hpp"
#include "simulator/checks/history.h"

namespace millstair::simulator {

/// Unsigned field of an object; 0 if it is missing or of another type.
uint64_t NumberIn(const boost::json::object& object, const char* field);
/// Text field of an object; empty if it is missing or of another type.
std::string TextIn(const boost::json::object& object, const char* field);
/// Reads an array of spans; elements that are not objects are skipped.
std::vector<checks::ClaimedSpan> ReadSpans(const boost::json::value* spans);

}  // namespace millstair::simulator
