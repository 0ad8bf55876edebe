#include "bench/load/trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "absl/strings/str_split.h"
#include "fmt/format.h"

namespace millstair {
namespace {

using checks::CallKind;

constexpr std::string_view kHeader = "at_ms,kind,host,path,prompt_tokens,max_tokens,priority";
constexpr size_t kColumns = 7;
constexpr std::array<std::string_view, 4> kKindNames = {"completion", "page", "lookup", "booking"};
constexpr uint64_t kMaxNumber = 1'000'000'000;

std::optional<CallKind> ParseCallKind(std::string_view name) {
  for (size_t i = 0; i < kKindNames.size(); ++i) {
    if (kKindNames[i] == name) return static_cast<CallKind>(i);
  }
  return std::nullopt;
}

class LineReader {
 public:
  LineReader(const std::string& file, int line, Findings& findings)
      : file_(file), line_(line), findings_(findings) {}

  uint64_t Number(std::string_view text, std::string_view column) {
    uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc() && end == text.data() + text.size() && number <= kMaxNumber) {
      return number;
    }
    AddError(fmt::format("{} '{}' is not an integer from 0 to {}", column, text, kMaxNumber));
    return 0;
  }

  void AddError(const std::string& message) { findings_.Add(Location{file_, line_, 0}, message); }

 private:
  const std::string& file_;
  int line_;
  Findings& findings_;
};

TraceCall ReadLine(const std::vector<std::string>& cells, LineReader& reader) {
  TraceCall call;
  call.at = std::chrono::milliseconds(reader.Number(cells[0], "at_ms"));
  const std::optional<CallKind> kind = ParseCallKind(cells[1]);
  if (!kind) reader.AddError(fmt::format("kind '{}' is unknown", cells[1]));
  call.kind = kind.value_or(CallKind::kPage);
  call.host = cells[2];
  call.path = cells[3];
  call.prompt_tokens = static_cast<uint32_t>(reader.Number(cells[4], "prompt_tokens"));
  call.max_tokens = static_cast<uint32_t>(reader.Number(cells[5], "max_tokens"));
  call.priority = static_cast<int>(reader.Number(cells[6], "priority"));
  return call;
}

}  // namespace

std::string_view CallKindName(CallKind kind) { return kKindNames.at(static_cast<size_t>(kind)); }

std::string WriteTrace(const std::vector<TraceCall>& calls) {
  std::string text = fmt::format("{}\n", kHeader);
  for (const TraceCall& call : calls) {
    text += fmt::format("{},{},{},{},{},{},{}\n", call.at.count() / 1000, CallKindName(call.kind),
                        call.host, call.path, call.prompt_tokens, call.max_tokens, call.priority);
  }
  return text;
}

std::vector<TraceCall> ReadTrace(const std::string& file, const std::string& text,
                                 Findings& findings) {
  std::vector<TraceCall> calls;
  const std::vector<std::string> lines = absl::StrSplit(text, '\n');
  if (lines.front() != kHeader) {
    findings.Add(Location{file, 1, 1}, fmt::format("the heading must be '{}'", kHeader));
    return calls;
  }
  for (size_t i = 1; i < lines.size(); ++i) {
    if (lines[i].empty()) continue;
    LineReader reader(file, static_cast<int>(i) + 1, findings);
    const std::vector<std::string> cells = absl::StrSplit(lines[i], ',');
    if (cells.size() != kColumns) {
      reader.AddError(fmt::format("{} columns instead of {}", cells.size(), kColumns));
      continue;
    }
    calls.push_back(ReadLine(cells, reader));
  }
  std::stable_sort(calls.begin(), calls.end(),
                   [](const TraceCall& a, const TraceCall& b) { return a.at < b.at; });
  return calls;
}

}  // namespace millstair
