#include "cluster/operators_answer.h"

#include <boost/json.hpp>

#include "fmt/format.h"
#include "http/problem.h"
#include "resources/resource_codec.h"

namespace millstair {
namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

void RespondConflict(ResponseWriter& writer, const ClusterResult& result) {
  Problem problem;
  problem.status = 412;
  problem.title = "conflict";
  problem.detail = result.message;
  problem.outcome = Outcome::kNotRun;
  boost::json::object body = boost::json::parse(ProblemJson(problem)).as_object();
  boost::json::array conflicting;
  for (const Resource& resource : result.conflicting) {
    conflicting.push_back(boost::json::parse(ToJson(resource)));
  }
  body["conflicting"] = std::move(conflicting);
  body["revision"] = result.revision.value();
  HttpResponseHead head = ProblemHead(problem);
  if (result.conflicting.size() == 1) {
    head.headers.push_back({"ETag", fmt::format("\"{}\"", result.conflicting[0].version)});
  }
  Respond(writer, std::move(head), boost::json::serialize(body));
}

}  // namespace

void RespondJson(ResponseWriter& writer, std::string body, Revision version) {
  HttpResponseHead head;
  head.headers.push_back({"Content-Type", "application/json"});
  head.headers.push_back({std::string(kOutcomeHeader), std::string(OutcomeName(Outcome::kRan))});
  if (version != Revision()) head.headers.push_back({"ETag", fmt::format("\"{}\"", version)});
  RespondIfRoom(writer, std::move(head), std::move(body));
}

void RespondRefused(ResponseWriter& writer, int status, const std::string& title,
                    const std::string& detail) {
  RespondProblem(writer, {status, title, detail, Outcome::kNotRun, std::nullopt});
}

void RespondUnavailable(ResponseWriter& writer, const absl::Status& status, Outcome outcome) {
  const int code = absl::IsDeadlineExceeded(status) ? 504 : 503;
  RespondProblem(writer,
                 {code, "no control quorum", std::string(status.message()), outcome, kRetryAfter});
}

void RespondResult(ResponseWriter& writer, const ClusterResult& result) {
  switch (result.code) {
    case ClusterResultCode::kOk:
      return RespondJson(writer, fmt::format("{{\"revision\":{}}}", result.revision),
                         result.revision);
    case ClusterResultCode::kConflict:
      return RespondConflict(writer, result);
    case ClusterResultCode::kNotFound:
      return RespondRefused(writer, 404, "not found", result.message);
    case ClusterResultCode::kSessionExpired:
      // This command changed nothing, but an earlier send of it may have run.
      return RespondProblem(
          writer, {410, "session expired", result.message, Outcome::kUnknown, std::nullopt});
    default:
      return RespondRefused(writer, 422, "invalid", result.message);
  }
}

}  // namespace millstair
