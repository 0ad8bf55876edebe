#include "emulator/engine_links.h"

#include <functional>
#include <utility>

#include "emulator/kv_codec.h"
#include "engine/engine_codec.h"

namespace millstair {
namespace {

/// A call that collects the complete response. Owns itself until the response arrives.
class CollectedCall : public HttpCallObserver, public std::enable_shared_from_this<CollectedCall> {
 public:
  using Done = std::function<void(absl::Status, const HttpResponseHead&, const std::string& body)>;

  static void Start(HttpCaller& caller, const std::string& address, HttpRequest request,
                    Done done) {
    auto call = std::make_shared<CollectedCall>();
    call->done_ = std::move(done);
    call->self_ = call;
    call->handle_ = caller.Start(address, std::move(request), *call);
  }

  void OnHead(const HttpResponseHead& head) override { head_ = head; }
  void OnBody(std::string bytes) override { body_ += bytes; }
  void OnFinished() override {
    const bool good = head_.status == 200;
    End(good ? absl::OkStatus()
             : absl::UnavailableError("HTTP status " + std::to_string(head_.status)));
  }
  void OnFailed(CallFailure, const std::string& reason) override {
    End(absl::UnavailableError(reason));
  }

 private:
  void End(const absl::Status& status) {
    const std::shared_ptr<CollectedCall> self = std::move(self_);
    const std::unique_ptr<CallHandle> handle = std::move(handle_);
    done_(status, head_, body_);
  }

  std::shared_ptr<CollectedCall> self_;
  std::unique_ptr<CallHandle> handle_;
  Done done_;
  HttpResponseHead head_;
  std::string body_;
};

void FetchWeights(HttpCaller& caller, const std::string& store, const std::string& location,
                  std::function<void(absl::StatusOr<WeightDigest>)> done) {
  HttpRequest request{"GET", "/weights/" + location, {}, ""};
  CollectedCall::Start(
      caller, store, std::move(request),
      [done = std::move(done)](const absl::Status& status, const HttpResponseHead& head,
                               const std::string&) {
        if (!status.ok()) {
          const bool busy = head.status == 429;
          return done(busy ? absl::ResourceExhaustedError("the store is busy") : status);
        }
        const auto digest = FindHeader(head.headers, "Millstair-Weight-Digest");
        done(WeightDigest(std::string(digest.value_or(""))));
      });
}

void FetchKv(HttpCaller& caller, const std::string& address, const std::vector<BlockHash>& blocks,
             std::function<void(absl::StatusOr<KvExport>)> done) {
  HttpRequest request{
      "POST", "/v1/kv/export", {{"Content-Type", "application/json"}}, EncodeBlockList(blocks)};
  CollectedCall::Start(caller, address, std::move(request),
                       [done = std::move(done)](const absl::Status& status, const HttpResponseHead&,
                                                const std::string& body) {
                         if (!status.ok()) return done(status);
                         done(DecodeKvExport(body));
                       });
}

}  // namespace

EngineModelLinks MakeHttpLinks(HttpCaller& caller, const std::string& store) {
  EngineModelLinks links;
  if (!store.empty()) {
    links.fetch_weights = [&caller, store](const std::string& location, auto done) {
      FetchWeights(caller, store, location, std::move(done));
    };
  }
  links.fetch_kv = [&caller](const std::string& address, const std::vector<BlockHash>& blocks,
                             auto done) { FetchKv(caller, address, blocks, std::move(done)); };
  return links;
}

}  // namespace millstair
