#include "emulator/model/http_answers.h"

#include <algorithm>
#include <utility>

#include "http/outcome.h"
#include "http/problem.h"

namespace millstair {
namespace {

/// A response body being sent. The writer's callback owns it until all is sent.
struct PendingBody {
  std::shared_ptr<ResponseWriter> writer;
  std::string body;
  size_t sent = 0;
};

void SendMore(const std::shared_ptr<PendingBody>& pending) {
  while (pending->sent < pending->body.size()) {
    const size_t capacity = pending->writer->WritableBytes();
    if (capacity == 0) return;
    const size_t size = std::min(capacity, pending->body.size() - pending->sent);
    pending->writer->SendBody(pending->body.substr(pending->sent, size));
    pending->sent += size;
  }
  const std::shared_ptr<ResponseWriter> writer = std::move(pending->writer);
  writer->Finish();
}

}  // namespace

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view QueryParameter(std::string_view target, std::string_view name) {
  size_t begin = target.find('?');
  while (begin != std::string_view::npos) {
    const size_t end = target.find('&', begin + 1);
    const std::string_view pair = target.substr(begin + 1, end - begin - 1);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
    begin = end;
  }
  return {};
}

void RespondJson(const std::shared_ptr<ResponseWriter>& writer, std::string json) {
  HttpResponseHead head;
  head.headers.push_back({"Content-Type", "application/json"});
  SendResponse(writer, std::move(head), std::move(json));
}

void RespondNotRun(const std::shared_ptr<ResponseWriter>& writer, int status, bool draining,
                   const std::string& detail) {
  const Problem problem{.status = status,
                        .title = draining ? "Draining" : "Refused",
                        .detail = detail,
                        .outcome = Outcome::kNotRun};
  HttpResponseHead head = ProblemHead(problem);
  if (draining) head.headers.push_back({std::string(kDrainingHeader), "true"});
  Respond(*writer, std::move(head), ProblemJson(problem));
}

void RespondNotFound(const std::shared_ptr<ResponseWriter>& writer, std::string_view target) {
  RespondNotRun(writer, 404, false, "no such path: " + std::string(PathOf(target)));
}

void SendResponse(std::shared_ptr<ResponseWriter> writer, HttpResponseHead head, std::string body) {
  head.headers.push_back({"Content-Length", std::to_string(body.size())});
  writer->SendHead(std::move(head));
  auto pending = std::make_shared<PendingBody>(PendingBody{writer, std::move(body)});
  SendMore(pending);
  if (pending->writer == nullptr) return;
  writer->OnWritable([pending] {
    if (pending->writer != nullptr) SendMore(pending);
  });
}

}  // namespace millstair
