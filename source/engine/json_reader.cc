#include "engine/json_reader.h"

#include <charconv>

#include "fmt/format.h"

namespace millstair {
namespace {

/// Maximum nesting depth; no valid message is nested as deeply.
constexpr size_t kMaxDepth = 16;

}  // namespace

bool UnsignedFromJson(const boost::json::value& value, uint64_t& number) {
  if (value.is_uint64()) {
    number = value.get_uint64();
    return true;
  }
  if (!value.is_int64() || value.get_int64() < 0) return false;
  number = static_cast<uint64_t>(value.get_int64());
  return true;
}

bool HashFromJson(const boost::json::value& value, uint64_t& hash) {
  if (!value.is_string()) return false;
  const boost::json::string& text = value.get_string();
  const char* end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, hash, 16);
  return result.ec == std::errc() && result.ptr == end;
}

std::string HashToHex(uint64_t hash) { return fmt::format("{:016x}", hash); }

JsonReader::JsonReader(std::string_view message_name, std::string_view json)
    : message_name_(message_name) {
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::system::error_code error;
  parsed_ = boost::json::parse(json, error, {}, options);
  if (error) {
    faults_ = "no JSON: " + error.message();
    return;
  }
  object_ = parsed_.if_object();
  if (object_ == nullptr) faults_ = "must be an object";
}

void JsonReader::Fail(std::string_view name, std::string_view problem) {
  if (!faults_.empty()) faults_ += "; ";
  faults_ += fmt::format("{}: {}", name, problem);
}

absl::Status JsonReader::status() const {
  if (faults_.empty()) return absl::OkStatus();
  return absl::InvalidArgumentError(fmt::format("{}: {}", message_name_, faults_));
}

const boost::json::value* JsonReader::Member(std::string_view name) {
  // Without an object the constructor recorded an error; further ones would add nothing.
  if (object_ == nullptr) return nullptr;
  const boost::json::value* member = object_->if_contains(name);
  if (member == nullptr) Fail(name, "missing");
  return member;
}

void JsonReader::Read(std::string_view name, std::string& field) {
  const boost::json::value* member = Member(name);
  if (member == nullptr) return;
  if (!member->is_string()) return Fail(name, "must be a string");
  field.assign(member->get_string().data(), member->get_string().size());
}

void JsonReader::Read(std::string_view name, bool& field) {
  const boost::json::value* member = Member(name);
  if (member == nullptr) return;
  if (!member->is_bool()) return Fail(name, "must be true or false");
  field = member->get_bool();
}

void JsonReader::Read(std::string_view name, Duration& microseconds) {
  auto count = static_cast<uint64_t>(microseconds.count());
  ReadNumber(name, static_cast<uint64_t>(Duration::max().count()), count);
  microseconds = Duration(static_cast<Duration::rep>(count));
}

const boost::json::array* JsonReader::Array(std::string_view name) {
  const boost::json::value* member = Member(name);
  if (member == nullptr) return nullptr;
  if (!member->is_array()) Fail(name, "must be an array");
  return member->if_array();
}

void JsonReader::Read(std::string_view name, std::vector<std::string>& field) {
  const boost::json::array* items = Array(name);
  if (items == nullptr) return;
  std::vector<std::string> texts;
  for (const boost::json::value& item : *items) {
    if (!item.is_string()) return Fail(name, "must hold strings");
    texts.emplace_back(item.get_string().data(), item.get_string().size());
  }
  field = std::move(texts);
}

void JsonReader::ReadHashes(std::string_view name, std::vector<uint64_t>& field) {
  const boost::json::array* items = Array(name);
  if (items == nullptr) return;
  std::vector<uint64_t> hashes;
  for (const boost::json::value& item : *items) {
    uint64_t hash = 0;
    if (!HashFromJson(item, hash)) return Fail(name, "must hold hex hashes");
    hashes.push_back(hash);
  }
  field = std::move(hashes);
}

void JsonReader::ReadOptional(std::string_view name, std::string& field) {
  if (object_ != nullptr && object_->contains(name)) Read(name, field);
}

void JsonReader::ReadOptional(std::string_view name, std::vector<std::string>& field) {
  if (object_ != nullptr && object_->contains(name)) Read(name, field);
}

void JsonReader::ReadNumber(std::string_view name, uint64_t max, uint64_t& field) {
  const boost::json::value* member = Member(name);
  if (member == nullptr) return;
  uint64_t number = 0;
  if (!UnsignedFromJson(*member, number) || number > max) {
    return Fail(name, fmt::format("must be an integer from 0 to {}", max));
  }
  field = number;
}

void JsonReader::ReadNumbers(std::string_view name, std::vector<uint64_t>& field) {
  const boost::json::array* items = Array(name);
  if (items == nullptr) return;
  for (const boost::json::value& item : *items) {
    uint64_t number = 0;
    if (!UnsignedFromJson(item, number)) return Fail(name, "must hold integers from 0");
    field.push_back(number);
  }
}

}  // namespace millstair
