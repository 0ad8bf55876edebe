/// Reads members of a JSON object into typed fields and collects the errors found.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "absl/status/status.h"
#include "boost/json.hpp"
#include "common/strong_id.h"
#include "common/time.h"

namespace millstair {

/// Hash as 16 lower-case hex digits.
std::string HashToHex(uint64_t hash);
/// Parses a string of hex digits. False if it is invalid; `hash` is then unspecified.
bool HashFromJson(const boost::json::value& value, uint64_t& hash);
/// Reads an integer from 0 to 2^64 - 1. False, with `number` unchanged, if it is none.
bool UnsignedFromJson(const boost::json::value& value, uint64_t& number);

/// Members are required unless read by ReadOptional. An invalid one leaves its field unchanged.
class JsonReader {
 public:
  /// Parses `json`, which must be an object. `message_name` prefixes the error message.
  JsonReader(std::string_view message_name, std::string_view json);

  void Read(std::string_view name, std::string& field);
  void Read(std::string_view name, bool& field);
  void Read(std::string_view name, Duration& microseconds);
  void Read(std::string_view name, std::vector<std::string>& field);
  void ReadHashes(std::string_view name, std::vector<uint64_t>& field);
  void ReadOptional(std::string_view name, std::string& field);
  void ReadOptional(std::string_view name, std::vector<std::string>& field);

  template <class Number>
  requires std::is_unsigned_v<Number>
  void ReadOptional(std::string_view name, Number& field) {
    if (object_ != nullptr && object_->contains(name)) Read(name, field);
  }

  template <class Number>
  requires std::is_unsigned_v<Number>
  void Read(std::string_view name, Number& field) {
    uint64_t value = field;
    ReadNumber(name, std::numeric_limits<Number>::max(), value);
    field = static_cast<Number>(value);
  }

  template <class Tag, class Rep>
  void Read(std::string_view name, StrongId<Tag, Rep>& field) {
    Rep value = field.value();
    Read(name, value);
    field = StrongId<Tag, Rep>(std::move(value));
  }

  template <class Tag, class Rep>
  void Read(std::string_view name, std::vector<StrongId<Tag, Rep>>& field) {
    std::vector<uint64_t> values;
    ReadNumbers(name, values);
    for (const uint64_t value : values) field.emplace_back(value);
  }

  /// Reads an enumerator by its number, from `first` to `last`.
  template <class Enum>
  void ReadEnum(std::string_view name, Enum first, Enum last, Enum& field) {
    uint64_t value = static_cast<uint64_t>(field);
    ReadNumber(name, static_cast<uint64_t>(last), value);
    if (value < static_cast<uint64_t>(first)) {
      Fail(name, "out of range");
    } else {
      field = static_cast<Enum>(value);
    }
  }

  /// The member as an array; null, with an error recorded, if it is not an array.
  const boost::json::array* Array(std::string_view name);
  void Fail(std::string_view name, std::string_view problem);
  absl::Status status() const;

 private:
  const boost::json::value* Member(std::string_view name);
  void ReadNumber(std::string_view name, uint64_t max, uint64_t& field);
  void ReadNumbers(std::string_view name, std::vector<uint64_t>& field);

  std::string message_name_;
  boost::json::value parsed_;
  const boost::json::object* object_ = nullptr;
  std::string faults_;
};

}  // namespace millstair
