#include "http/request_head_check.h"

#include <algorithm>

#include "http/header_rules.h"

namespace millstair {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
/// Longer lengths would overflow 64 bits.
constexpr size_t kMaxLengthDigits = 18;

struct HeadFacts {
  bool http_1_1 = false;
  int hosts = 0;
  int lengths = 0;
  int transfer_encodings = 0;
  int lines = 0;
};

std::string_view TakeLine(std::string_view& rest) {
  const size_t end = rest.find(kLineEnd);
  const std::string_view line = rest.substr(0, end);
  rest.remove_prefix(end + kLineEnd.size());
  return line;
}

std::optional<HeadFault> CheckRequestLine(std::string_view line, HeadFacts& facts) {
  const size_t first = line.find(' ');
  const size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) return HeadFault{400, "bad-request-line"};
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  if (!IsToken(method) || !IsRequestTarget(target)) return HeadFault{400, "bad-request-line"};
  if (method == "CONNECT") return HeadFault{501, "unsupported-method"};
  if (target.front() != '/' && target != "*") return HeadFault{400, "bad-target"};
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return HeadFault{505, "bad-version"};
  facts.http_1_1 = version == "HTTP/1.1";
  return std::nullopt;
}

std::optional<HeadFault> CheckLength(std::string_view value) {
  const bool digits =
      !value.empty() && value.size() <= kMaxLengthDigits &&
      std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (!digits) return HeadFault{400, "bad-length"};
  return std::nullopt;
}

std::string_view Trimmed(std::string_view value) {
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!value.empty() && blank(value.front())) value.remove_prefix(1);
  while (!value.empty() && blank(value.back())) value.remove_suffix(1);
  return value;
}

std::optional<HeadFault> CheckHeaderLine(std::string_view line, HeadFacts& facts) {
  if (++facts.lines > kMaxHeaderLines) return HeadFault{431, "too-many-headers"};
  if (line.front() == ' ' || line.front() == '\t') return HeadFault{400, "obs-fold"};
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return HeadFault{400, "bad-header"};
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trimmed(line.substr(colon + 1));
  if (!IsToken(name) || !IsFieldValue(value)) return HeadFault{400, "bad-character"};
  if (EqualsIgnoringCase(name, "Host")) ++facts.hosts;
  if (EqualsIgnoringCase(name, "Content-Length")) {
    ++facts.lengths;
    return CheckLength(value);
  }
  if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    ++facts.transfer_encodings;
    if (!EqualsIgnoringCase(value, "chunked")) return HeadFault{501, "bad-transfer-encoding"};
  }
  return std::nullopt;
}

std::optional<HeadFault> CheckFacts(const HeadFacts& facts) {
  if (facts.lengths > 1) return HeadFault{400, "duplicate-length"};
  if (facts.transfer_encodings > 1) return HeadFault{400, "bad-transfer-encoding"};
  if (facts.transfer_encodings > 0 && facts.lengths > 0) {
    return HeadFault{400, "length-and-chunked"};
  }
  if (facts.transfer_encodings > 0 && !facts.http_1_1) {
    return HeadFault{400, "bad-transfer-encoding"};
  }
  if (facts.hosts > 1 || (facts.hosts == 0 && facts.http_1_1)) return HeadFault{400, "bad-host"};
  return std::nullopt;
}

}  // namespace

std::optional<HeadFault> CheckRequestHead(std::string_view head) {
  HeadFacts facts;
  if (auto fault = CheckRequestLine(TakeLine(head), facts)) return fault;
  for (std::string_view line = TakeLine(head); !line.empty(); line = TakeLine(head)) {
    if (auto fault = CheckHeaderLine(line, facts)) return fault;
  }
  return CheckFacts(facts);
}

}  // namespace millstair
