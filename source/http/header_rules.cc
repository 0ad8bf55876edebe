#include "http/header_rules.h"

#include <algorithm>
#include <array>
#include <utility>

namespace millstair {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
    "TE",         "Trailer",    "Upgrade",          "Transfer-Encoding",
    "Expect"};

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool IsTokenCharacter(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (Lower(c) >= 'a' && Lower(c) <= 'z') ||
         kMarks.find(c) != std::string_view::npos;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

/// True if the comma-separated `list` contains `name`.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    if (EqualsIgnoringCase(Trim(list.substr(0, comma)), name)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool IsHopByHop(const HttpHeaders& headers, std::string_view name) {
  for (const std::string_view hop : kHopByHop) {
    if (EqualsIgnoringCase(hop, name)) return true;
  }
  return std::any_of(headers.begin(), headers.end(), [name](const HttpHeader& header) {
    return EqualsIgnoringCase(header.name, "Connection") && ListContains(header.value, name);
  });
}

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return Lower(a) == Lower(b); });
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto code = static_cast<unsigned char>(c);
    return (code < 0x20 && c != '\t') || code == 0x7f;
  });
}

bool IsRequestTarget(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    const auto code = static_cast<unsigned char>(c);
    return code > 0x20 && code < 0x7f;
  });
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  HttpHeaders kept;
  for (const HttpHeader& header : headers) {
    if (!IsHopByHop(headers, header.name)) kept.push_back(header);
  }
  return kept;
}

HttpHeaders WithoutHeader(HttpHeaders headers, std::string_view name) {
  std::erase_if(headers,
                [name](const HttpHeader& header) { return EqualsIgnoringCase(header.name, name); });
  return headers;
}

}  // namespace millstair
