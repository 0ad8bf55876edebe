/// JSON that a client sent, parsed with bounded memory.
///
/// Short values take many times their text: a body within the limit of its size could otherwise
/// become a document of gigabytes.
#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

#include "boost/json/value.hpp"
#include "boost/system/error_code.hpp"

namespace millstair {

/// Sets what returns the bytes that the process has left now, for the whole process, as the heap is
/// the whole process's. Empty at first: then the memory is not considered. Thread-safe; `left` is
/// called on the threads that parse.
///
/// A document may take a third of what is left: what is made of it takes up to twice as much again.
/// It may also take four times its text and 1 MiB at most, whatever is left. Those of members with
/// short values take three to four times their text, lists of empty values twenty times.
void SetJsonMemory(std::function<size_t()> left);

/// `error` is set if `text` is not JSON, to value_too_large if its values take too much for its
/// text, and to not_enough_memory if the process has too little left now.
boost::json::value ParseJsonBody(std::string_view text, boost::system::error_code& error);

}  // namespace millstair
