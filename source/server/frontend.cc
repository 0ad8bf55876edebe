#include "server/frontend.h"

#include <array>

#include "http/problem.h"
#include "server/counting_writer.h"
#include "server/metrics_page.h"

namespace millstair {
namespace {

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

void RespondText(ResponseWriter& writer, const char* content_type, std::string text) {
  // Also while memory is short, when operators need it most.
  Respond(writer, {200, {{"Content-Type", content_type}}}, std::move(text));
}

}  // namespace

bool IsOperatorsPath(std::string_view target) {
  constexpr std::array<std::string_view, 7> kPaths = {"/v1/sessions", "/v1/resources", "/v1/apply",
                                                      "/v1/status",   "/v1/revisions", "/v1/watch",
                                                      "/v1/replicas"};
  const std::string_view path = PathOf(target);
  for (const std::string_view prefix : kPaths) {
    if (path == prefix) return true;
    if (path.starts_with(prefix) && path[prefix.size()] == '/') return true;
  }
  return false;
}

void Frontend::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  if (HandleLocally(PathOf(request.target), *writer)) return;
  auto counting = std::make_shared<CountingWriter>(std::move(writer), stats_);
  RequestHandler* target = targets_.gateway;
  const bool to_operators = IsOperatorsPath(request.target) || target == nullptr;
  if (targets_.operators != nullptr && to_operators) target = targets_.operators;
  if (target != nullptr) return target->Handle(std::move(request), std::move(counting));
  RespondProblem(*counting, {404, "not found", "nothing is served here", Outcome::kNotRun, {}});
}

bool Frontend::HandleLocally(std::string_view path, ResponseWriter& writer) {
  if (path == "/livez") {
    RespondText(writer, "text/plain", "ok\n");
    return true;
  }
  if (path == "/readyz") {
    if (targets_.ready()) {
      RespondText(writer, "text/plain", "ready\n");
    } else {
      RespondProblem(writer, {503, "not ready", "the node takes no work now", Outcome::kNotRun,
                              std::chrono::seconds(1)});
    }
    return true;
  }
  const bool is_metrics_path = !targets_.metrics_path.empty() && path == targets_.metrics_path;
  if (path == "/metrics" || is_metrics_path) {
    targets_.update_stats();
    RespondText(writer, kMetricsContentType, MetricsPage(stats_));
    return true;
  }
  return false;
}

}  // namespace millstair
