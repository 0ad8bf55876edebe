#include "ctl/control_api.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"
#include "http/exchange.h"
#include "http/outcome.h"
#include "resources/resource_codec.h"

namespace millstair {
namespace {

namespace json = boost::json;

constexpr int kConflictStatus = 412;
constexpr int kNotFoundStatus = 404;
constexpr int kRequestTimeoutStatus = 408;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kServerErrorStatus = 500;

/// Whether a retry, at this server or another, may get a final response.
bool IsRetryable(const BlockingReply& reply) {
  return !reply.complete() || reply.status >= kServerErrorStatus ||
         reply.status == kTooManyRequestsStatus || reply.status == kRequestTimeoutStatus;
}

std::string DetailOf(const BlockingReply& reply) {
  json::error_code error;
  const json::value page = json::parse(reply.body, error);
  if (!error && page.is_object()) {
    for (const char* key : {"detail", "title"}) {
      const json::value* text = page.get_object().if_contains(key);
      if (text != nullptr && text->is_string()) return std::string(text->get_string());
    }
  }
  return fmt::format("HTTP status {}", reply.status);
}

absl::Status StatusOf(const BlockingReply& reply) {
  if (IsSuccess(reply.status)) return absl::OkStatus();
  const std::string detail = DetailOf(reply);
  if (reply.status == kNotFoundStatus) return absl::NotFoundError(detail);
  if (reply.status == kConflictStatus) return absl::AbortedError(detail);
  if (reply.status == 400 || reply.status == 422) return absl::InvalidArgumentError(detail);
  const auto outcome = FindHeader(reply.headers, kOutcomeHeader);
  // An earlier attempt of the same change may have run, as when its session expired since.
  if (outcome && *outcome != OutcomeName(Outcome::kNotRun)) return absl::UnknownError(detail);
  return absl::FailedPreconditionError(detail);
}

absl::StatusOr<json::object> ParseObject(const BlockingReply& reply) {
  json::error_code error;
  json::value page = json::parse(reply.body, error);
  if (error || !page.is_object()) {
    return absl::InternalError(fmt::format("the answer is no JSON object: {}", reply.body));
  }
  return std::move(page.get_object());
}

absl::StatusOr<std::vector<Resource>> ParseList(const json::object& page, std::string_view key) {
  std::vector<Resource> resources;
  const json::value* list = page.if_contains(key);
  if (list == nullptr || !list->is_array()) return resources;
  for (const json::value& item : list->get_array()) {
    absl::StatusOr<Resource> resource = ResourceFromJson(json::serialize(item));
    if (!resource.ok()) return resource.status();
    resources.push_back(*std::move(resource));
  }
  return resources;
}

uint64_t NumberOf(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) return 0;
  json::error_code error;
  const auto number = value->to_number<uint64_t>(error);
  return error ? 0 : number;
}

std::string TextOf(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::string PathOf(const ResourceKey& key) {
  return fmt::format("/v1/resources/{}/{}", KindName(key.kind), key.name);
}

HttpRequest JsonRequest(std::string method, std::string target, std::string body) {
  HttpRequest request{std::move(method), std::move(target), {}, std::move(body)};
  if (!request.body.empty()) request.headers.push_back({"Content-Type", "application/json"});
  return request;
}

}  // namespace

Revision RevisionOf(const json::object& page) { return Revision(NumberOf(page, "revision")); }

ControlApi::ControlApi(BlockingCaller& caller, ControlApiOptions options,
                       std::function<void(Duration)> sleep)
    : caller_(caller), options_(std::move(options)), sleep_(std::move(sleep)) {}

absl::StatusOr<BlockingReply> ControlApi::Send(HttpRequest request) {
  if (options_.servers.empty()) return absl::UnavailableError("no control node is given");
  const int rounds = std::max<int>(
      1, static_cast<int>(options_.timeout / std::max(options_.retry_delay, Duration(1))));
  const auto begin = std::chrono::steady_clock::now();
  std::string last_error;
  for (int round = 0; round < rounds; ++round) {
    for (size_t i = 0; i < options_.servers.size(); ++i) {
      const std::string& server = options_.servers[current_ % options_.servers.size()];
      BlockingReply reply = caller_.Call(server, request, options_.attempt_timeout);
      if (!IsRetryable(reply)) return reply;
      last_error = fmt::format("{}: {}", server, reply.complete() ? DetailOf(reply) : reply.reason);
      ++current_;
    }
    if (std::chrono::steady_clock::now() - begin > options_.timeout) break;
    sleep_(options_.retry_delay);
  }
  return absl::UnavailableError(fmt::format("no control node answered; last {}", last_error));
}

absl::Status ControlApi::OpenSession() {
  if (!session_.empty()) return absl::OkStatus();
  const absl::StatusOr<BlockingReply> reply = Send(JsonRequest("POST", "/v1/sessions", "{}"));
  if (!reply.ok()) return reply.status();
  const absl::Status status = StatusOf(*reply);
  if (!status.ok()) return status;
  const absl::StatusOr<json::object> page = ParseObject(*reply);
  if (!page.ok()) return page.status();
  session_ = TextOf(*page, "session");
  return session_.empty() ? absl::InternalError("the answer names no session") : absl::OkStatus();
}

absl::StatusOr<ChangeResult> ControlApi::Change(HttpRequest request) {
  const absl::Status opened = OpenSession();
  if (!opened.ok()) return opened;
  ++sequence_;
  request.headers.push_back({"Idempotency-Key", fmt::format("{}/{}", session_, sequence_)});
  const absl::StatusOr<BlockingReply> reply = Send(std::move(request));
  if (!reply.ok()) return reply.status();
  const absl::Status status = StatusOf(*reply);
  if (!status.ok() && !absl::IsAborted(status)) return status;
  const absl::StatusOr<json::object> page = ParseObject(*reply);
  if (!page.ok()) return page.status();
  absl::StatusOr<std::vector<Resource>> conflicting = ParseList(*page, "conflicting");
  if (!conflicting.ok()) return conflicting.status();
  if (absl::IsAborted(status) && conflicting->empty()) return status;
  return ChangeResult{RevisionOf(*page), *std::move(conflicting)};
}

absl::StatusOr<json::object> ControlApi::Read(const std::string& target) {
  const absl::StatusOr<BlockingReply> reply = Send(JsonRequest("GET", target, ""));
  if (!reply.ok()) return reply.status();
  const absl::Status status = StatusOf(*reply);
  if (!status.ok()) return status;
  return ParseObject(*reply);
}

absl::StatusOr<std::vector<Resource>> ControlApi::List(ResourceKind kind) {
  const absl::StatusOr<json::object> page = Read(fmt::format("/v1/resources/{}", KindName(kind)));
  if (!page.ok()) return page.status();
  return ParseList(*page, "resources");
}

absl::StatusOr<Resource> ControlApi::Get(const ResourceKey& key) {
  const absl::StatusOr<json::object> page = Read(PathOf(key));
  if (!page.ok()) return page.status();
  return ResourceFromJson(json::serialize(*page));
}

absl::StatusOr<ChangeResult> ControlApi::Apply(const std::vector<ApplyItem>& items) {
  json::array array;
  for (const ApplyItem& item : items) {
    array.push_back(json::object{{"resource", json::parse(ToJson(item.resource))},
                                 {"expected", item.expected.value()}});
  }
  const json::object body{{"items", std::move(array)}};
  return Change(JsonRequest("POST", "/v1/apply", json::serialize(body)));
}

absl::StatusOr<ChangeResult> ControlApi::Delete(const ResourceKey& key,
                                                std::optional<Revision> expected) {
  HttpRequest request = JsonRequest("DELETE", PathOf(key), "");
  if (expected) request.headers.push_back({"If-Match", fmt::format("\"{}\"", *expected)});
  return Change(std::move(request));
}

absl::StatusOr<json::object> ControlApi::Status() { return Read("/v1/status"); }

absl::StatusOr<json::object> ControlApi::Suspects() { return Read("/v1/suspects"); }

absl::StatusOr<ChangeResult> ControlApi::LiftSuspect(const std::string& request) {
  return Change(JsonRequest("DELETE", fmt::format("/v1/suspects/{}", request), ""));
}

absl::StatusOr<json::object> ControlApi::Evacuations() { return Read("/v1/evacuations"); }

absl::StatusOr<ChangeResult> ControlApi::Evacuate(const std::string& zone, bool start) {
  return Change(JsonRequest(start ? "PUT" : "DELETE", fmt::format("/v1/evacuations/{}", zone), ""));
}

absl::StatusOr<std::vector<LaggingNode>> ControlApi::Lagging(Revision revision) {
  const absl::StatusOr<json::object> page = Read(fmt::format("/v1/revisions/{}/lagging", revision));
  if (!page.ok()) return page.status();
  const json::value* list = page->if_contains("lagging");
  if (list == nullptr || !list->is_array()) {
    return absl::InternalError("the answer has no list of lagging nodes");
  }
  std::vector<LaggingNode> nodes;
  for (const json::value& item : list->get_array()) {
    if (!item.is_object()) continue;
    const json::object& node = item.get_object();
    nodes.push_back({TextOf(node, "node"), NumberOf(node, "revision"), TextOf(node, "reason")});
  }
  return nodes;
}

absl::StatusOr<Revision> ControlApi::Watch(Revision after, Duration wait) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait).count();
  const absl::StatusOr<json::object> page =
      Read(fmt::format("/v1/watch?after={}&wait={}", after, seconds));
  if (!page.ok()) return page.status();
  return RevisionOf(*page);
}

absl::StatusOr<ChangeResult> ControlApi::AddReplica(const std::string& node,
                                                    const std::string& address, uint64_t replica) {
  const json::object body{{"node", node}, {"address", address}, {"replica", replica}};
  return Change(JsonRequest("POST", "/v1/replicas", json::serialize(body)));
}

absl::StatusOr<ChangeResult> ControlApi::RemoveReplica(const std::string& node) {
  return Change(JsonRequest("DELETE", fmt::format("/v1/replicas/{}", node), ""));
}

}  // namespace millstair
