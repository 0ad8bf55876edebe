#include "gateway/live_service.h"

#include <utility>
#include <vector>

#include "gateway/completion_codec.h"
#include "gateway/completion_flow.h"
#include "gateway/plain_flow.h"

namespace millstair {
namespace {

/// Retry-After of a draining gateway; callers reach another gateway by then.
constexpr Duration kDrainRetryAfter = std::chrono::seconds(1);

std::string_view HostOf(const HttpRequest& request) {
  return FindHeader(request.headers, "Host").value_or("");
}

void RespondNotRun(ResponseWriter& writer, int status, const std::string& title,
                   const std::string& detail) {
  RespondProblem(writer, {status, title, detail, Outcome::kNotRun, std::nullopt});
}

}  // namespace

void LiveService::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  if (draining_) {
    Problem problem{503, "draining", "this gateway is stopping", Outcome::kNotRun,
                    kDrainRetryAfter};
    HttpResponseHead head = ProblemHead(problem);
    head.headers.push_back({std::string(kDrainingHeader), "true"});
    Respond(*writer, std::move(head), ProblemJson(problem));
    return;
  }
  matcher_.Update(context_.configuration.configuration());
  context_.router.UpdateConfiguration(context_.configuration.configuration());
  const std::string_view path = PathOf(request);
  const bool chat = path == kChatCompletionsPath;
  if (chat || path == kCompletionsPath) {
    HandleCompletion(std::move(request), std::move(writer), chat);
    return;
  }
  HandlePlain(std::move(request), std::move(writer));
}

void LiveService::HandleCompletion(HttpRequest request, std::shared_ptr<ResponseWriter> writer,
                                   bool chat) {
  if (request.method != "POST") {
    RespondNotRun(*writer, 405, "method", "completions require POST");
    return;
  }
  absl::StatusOr<CompletionRequest> completion = ParseCompletion(request.body.str(), chat);
  if (!completion.ok()) {
    RespondNotRun(*writer, 400, "bad-request", std::string(completion.status().message()));
    return;
  }
  FlowRequest flow;
  flow.group = matcher_.MatchModel(HostOf(request), PathOf(request), completion->model);
  flow.http = std::move(request);
  flow.writer = std::move(writer);
  if (flow.group == nullptr) {
    RespondNotRun(*flow.writer, 404, "no-traffic-group",
                  "no traffic group serves this model here: " + completion->model.value());
    return;
  }
  if (!ReadMeta(flow)) return;
  const uint64_t number = NextFlow();
  StartFlow(number, std::make_unique<CompletionFlow>(
                        context_, std::move(flow), *std::move(completion), EndedCallback(number)));
}

void LiveService::HandlePlain(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  FlowRequest flow;
  flow.group = matcher_.MatchPlain(HostOf(request), PathOf(request));
  flow.http = std::move(request);
  flow.writer = std::move(writer);
  if (flow.group == nullptr) {
    RespondNotRun(*flow.writer, 404, "no-traffic-group", "no traffic group matches host and path");
    return;
  }
  if (!ReadMeta(flow)) return;
  const uint64_t number = NextFlow();
  StartFlow(number, std::make_unique<PlainFlow>(context_, std::move(flow), EndedCallback(number)));
}

bool LiveService::ReadMeta(FlowRequest& request) {
  absl::StatusOr<RequestMeta> meta = ReadRequestMeta(request.http, request.group->spec);
  if (!meta.ok()) {
    RespondNotRun(*request.writer, 400, "bad-request", std::string(meta.status().message()));
    return false;
  }
  request.meta = *std::move(meta);
  return true;
}

std::function<void()> LiveService::EndedCallback(uint64_t flow) {
  return [this, flow] {
    context_.environment.Schedule(Duration(0), alive_.Guard([this, flow] { Remove(flow); }));
  };
}

void LiveService::StartFlow(uint64_t number, std::unique_ptr<RequestFlow> flow) {
  RequestFlow& started = *flow;
  flows_.emplace(number, std::move(flow));
  started.Start();
}

void LiveService::Remove(uint64_t flow) {
  flows_.erase(flow);
  if (flows_.empty() && on_idle_) on_idle_();
}

void LiveService::AbortAll() {
  std::vector<RequestFlow*> running;
  for (const auto& [number, flow] : flows_) running.push_back(flow.get());
  for (RequestFlow* flow : running) flow->Abort();
}

}  // namespace millstair
