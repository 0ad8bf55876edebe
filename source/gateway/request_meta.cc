#include "gateway/request_meta.h"

#include <charconv>
#include <limits>

#include "absl/strings/ascii.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr int64_t kMaxDeadlineMs = 24LL * 60 * 60 * 1000;
constexpr size_t kMaxKeyBytes = 256;

absl::Status BadHeader(std::string_view header, std::string_view expected) {
  return absl::InvalidArgumentError(fmt::format("{}: expected {}", header, expected));
}

absl::StatusOr<std::optional<int64_t>> ReadNumber(const HttpHeaders& headers, std::string_view name,
                                                  int64_t low, int64_t high) {
  const auto value = FindHeader(headers, name);
  if (!value) return std::optional<int64_t>();
  int64_t number = 0;
  const char* end = value->data() + value->size();
  const auto [stop, error] = std::from_chars(value->data(), end, number);
  if (error != std::errc() || stop != end || number < low || number > high) {
    return BadHeader(name, fmt::format("a number from {} to {}", low, high));
  }
  return std::optional<int64_t>(number);
}

absl::StatusOr<bool> ReadRepeatable(const HttpHeaders& headers, bool group_repeatable) {
  const auto value = FindHeader(headers, kRepeatableHeader);
  if (!value) return group_repeatable;
  const std::string text = absl::AsciiStrToLower(std::string(*value));
  if (text != "true" && text != "false") return BadHeader(kRepeatableHeader, "true or false");
  return group_repeatable && text == "true";
}

}  // namespace

absl::StatusOr<RequestMeta> ReadRequestMeta(const HttpRequest& request,
                                            const TrafficGroupSpec& group) {
  RequestMeta meta;
  const auto priority = ReadNumber(request.headers, kPriorityHeader, 1, 3);
  if (!priority.ok()) return priority.status();
  meta.priority = static_cast<RequestPriority>(priority->value_or(group.priority));
  const auto deadline = ReadNumber(request.headers, kDeadlineHeader, 1, kMaxDeadlineMs);
  if (!deadline.ok()) return deadline.status();
  meta.time_limit = group.deadline;
  if (*deadline) meta.time_limit = std::chrono::milliseconds(**deadline);
  const auto repeatable = ReadRepeatable(request.headers, group.repeatable);
  if (!repeatable.ok()) return repeatable.status();
  meta.repeatable = *repeatable;
  meta.idempotency_key = std::string(FindHeader(request.headers, kIdempotencyHeader).value_or(""));
  if (meta.idempotency_key.size() > kMaxKeyBytes) {
    return BadHeader(kIdempotencyHeader, fmt::format("at most {} bytes", kMaxKeyBytes));
  }
  if (!meta.repeatable && meta.idempotency_key.empty()) {
    return BadHeader(kIdempotencyHeader, "a key, since the request is not repeatable");
  }
  const auto issued =
      ReadNumber(request.headers, kKeyIssuedHeader, 0, std::numeric_limits<int64_t>::max() / 2);
  if (!issued.ok()) return issued.status();
  if (*issued) meta.key_issued = WallTime(std::chrono::milliseconds(**issued));
  return meta;
}

std::string_view PathOf(const HttpRequest& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

}  // namespace millstair
