#include "rollout/trainer_requests.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "fmt/format.h"
#include "http/json_body.h"
#include "rollout/stream_state.h"

namespace millstair {
namespace {

constexpr uint64_t kMaxWaitSeconds = 60;
constexpr size_t kMaxStepIdLength = 200;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const int high = HexDigit(text[i + 1]);
      const int low = HexDigit(text[i + 2]);
      if (high >= 0 && low >= 0) {
        decoded += static_cast<char>(high * 16 + low);
        i += 2;
        continue;
      }
    }
    decoded += text[i];
  }
  return decoded;
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

Location At(std::string where) { return Location{std::move(where), 0, 0}; }

/// Parses the body as a JSON object. Returns null and adds a finding if it is not one.
const boost::json::object* ParseObject(const std::string& body,
                                       std::optional<boost::json::value>& storage,
                                       Findings& findings) {
  boost::json::error_code error;
  storage.emplace(ParseJsonBody(body, error));
  if (error) {
    findings.Add(At("body"), "is not valid JSON: " + error.message());
    return nullptr;
  }
  if (!storage->is_object()) {
    findings.Add(At("body"), "must be a JSON object");
    return nullptr;
  }
  return &storage->as_object();
}

void RefuseUnknownKeys(const boost::json::object& object, const std::string& where,
                       std::initializer_list<std::string_view> known, Findings& findings) {
  for (const auto& member : object) {
    const std::string_view key(member.key().data(), member.key().size());
    if (std::find(known.begin(), known.end(), key) != known.end()) continue;
    findings.Add(At(where), fmt::format("unknown member \"{}\"", key));
  }
}

std::string ReadText(const boost::json::object& object, const std::string& where,
                     std::string_view name, Findings& findings) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string() || value->as_string().empty()) {
    findings.Add(At(where), fmt::format("\"{}\" must be a non-empty string", name));
    return "";
  }
  return std::string(value->as_string());
}

uint32_t ReadMaxTokens(const boost::json::object& object, const std::string& where,
                       const StreamSpec& stream, Findings& findings) {
  const boost::json::value* value = object.if_contains("max_tokens");
  if (value == nullptr) return stream.max_tokens;
  boost::json::error_code error;
  const auto tokens = value->is_number() ? value->to_number<uint64_t>(error) : 0;
  if (error || tokens == 0 || tokens > stream.max_tokens) {
    findings.Add(At(where), fmt::format("\"max_tokens\" must be from 1 to the stream's {}",
                                        stream.max_tokens));
    return 0;
  }
  return static_cast<uint32_t>(tokens);
}

}  // namespace

TrainerTarget ParseTarget(std::string_view target) {
  TrainerTarget parsed;
  const size_t question = target.find('?');
  if (question != std::string_view::npos) {
    parsed.query = std::string(target.substr(question + 1));
    target = target.substr(0, question);
  }
  size_t begin = 1;
  while (begin <= target.size()) {
    const size_t end = std::min(target.find('/', begin), target.size());
    parsed.segments.push_back(PercentDecode(target.substr(begin, end - begin)));
    begin = end + 1;
  }
  return parsed;
}

SamplesRequest ParseSamplesRequest(const std::string& query, Findings& findings) {
  SamplesRequest request;
  std::string_view rest = query;
  while (!rest.empty()) {
    const size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const size_t equals = std::min(pair.find('='), pair.size());
    const std::string_view name = pair.substr(0, equals);
    const auto value = ParseNumber(pair.substr(std::min(equals + 1, pair.size())));
    if (name == "after") {
      if (!value) findings.Add(At("after"), "must be a cursor: a non-negative integer");
      request.after = StreamOffset(value.value_or(0));
    } else if (name == "max") {
      if (!value || *value == 0 || *value > kMaxDeliverySamples) {
        findings.Add(At("max"), fmt::format("must be from 1 to {}", kMaxDeliverySamples));
      }
      request.max_samples =
          static_cast<uint32_t>(std::min<uint64_t>(value.value_or(1), kMaxDeliverySamples));
    } else if (name == "wait") {
      if (!value || *value > kMaxWaitSeconds) {
        findings.Add(At("wait"), fmt::format("must be from 0 to {} seconds", kMaxWaitSeconds));
      }
      request.wait = std::chrono::seconds(std::min(value.value_or(0), kMaxWaitSeconds));
    } else {
      findings.Add(At("query"), fmt::format("unknown parameter \"{}\"", name));
    }
  }
  return request;
}

PutStep ParseStep(const std::string& step, const std::string& body, const StreamSpec& stream,
                  Findings& findings) {
  PutStep command;
  command.step = StepId(step);
  if (step.empty() || step.size() > kMaxStepIdLength || step.find('/') != std::string::npos ||
      step.find('\0') != std::string::npos) {
    findings.Add(At("step"), "must have 1 to 200 characters and must not contain '/'");
  }
  std::optional<boost::json::value> storage;
  const boost::json::object* object = ParseObject(body, storage, findings);
  if (object == nullptr) return command;
  RefuseUnknownKeys(*object, "body", {"prompts"}, findings);
  const boost::json::value* prompts = object->if_contains("prompts");
  if (prompts == nullptr || !prompts->is_array() || prompts->as_array().empty() ||
      prompts->as_array().size() > kMaxStepSamples) {
    findings.Add(At("body"), fmt::format("\"prompts\" must be a list of 1 to {}", kMaxStepSamples));
    return command;
  }
  for (const boost::json::value& prompt : prompts->as_array()) {
    const std::string where = fmt::format("prompts[{}]", command.prompts.size());
    const SampleId sample(fmt::format("{}/{}", step, command.prompts.size()));
    if (!prompt.is_object()) {
      findings.Add(At(where), "must be a JSON object");
      command.prompts.push_back({sample, "", 0});
      continue;
    }
    RefuseUnknownKeys(prompt.as_object(), where, {"text", "max_tokens"}, findings);
    command.prompts.push_back({sample, ReadText(prompt.as_object(), where, "text", findings),
                               ReadMaxTokens(prompt.as_object(), where, stream, findings)});
  }
  return command;
}

PublishedVersion ParseVersion(const std::string& version, const std::string& body,
                              Findings& findings) {
  PublishedVersion published;
  const std::optional<uint64_t> number = ParseNumber(version);
  if (!number || *number == 0) {
    findings.Add(At("version"), "must be a positive integer");
  }
  published.version = WeightVersion(number.value_or(0));
  std::optional<boost::json::value> storage;
  const boost::json::object* object = ParseObject(body, storage, findings);
  if (object == nullptr) return published;
  RefuseUnknownKeys(*object, "body", {"digest", "location"}, findings);
  published.digest = WeightDigest(ReadText(*object, "body", "digest", findings));
  published.location = ReadText(*object, "body", "location", findings);
  return published;
}

std::string SamplesJson(const StreamResult& result) {
  boost::json::array samples;
  for (const DeliveredEntry& item : result.delivered) {
    boost::json::array spans;
    for (const VersionSpan& span : item.sample.spans) {
      spans.push_back(boost::json::object{{"version", span.version.value()},
                                          {"digest", span.digest.value()},
                                          {"engine_incarnation", span.engine_incarnation.value()},
                                          {"first_token", span.first_token},
                                          {"token_count", span.token_count}});
    }
    samples.push_back(boost::json::object{{"offset", item.offset.value()},
                                          {"withdrawn", item.withdrawn},
                                          {"sample", item.sample.sample.value()},
                                          {"step", item.sample.step.value()},
                                          {"text", item.sample.text},
                                          {"token_count", item.sample.token_count},
                                          {"score", item.sample.score},
                                          {"spans", std::move(spans)}});
  }
  return boost::json::serialize(boost::json::object{{"samples", std::move(samples)},
                                                    {"next", result.next.value()},
                                                    {"newest", result.newest.value()}});
}

}  // namespace millstair
