#include "jobs/item_run.h"

#include <utility>

#include "fmt/format.h"

namespace millstair {
namespace {

constexpr int kOk = 200;
constexpr int kUnprocessableEntity = 422;
constexpr int kInternalServerError = 500;
/// One event that has not ended; a storage node runs hundreds of items at a time.
constexpr size_t kMaxEventBytes = 1024 * 1024;

BackendEnd BackendEndOf(ItemRunEnd end) {
  switch (end) {
    case ItemRunEnd::kComplete:
    case ItemRunEnd::kServerError:
    case ItemRunEnd::kImpossible:
    case ItemRunEnd::kWrongVersion:
      return BackendEnd::kAnswered;
    case ItemRunEnd::kRefused:
      return BackendEnd::kRefused;
    case ItemRunEnd::kWrongInstance:
      return BackendEnd::kWrongInstance;
    case ItemRunEnd::kUnreachable:
      return BackendEnd::kUnreachable;
    case ItemRunEnd::kTooLong:
    case ItemRunEnd::kBroken:
      break;
  }
  return BackendEnd::kFailed;
}

}  // namespace

std::string_view ItemRunEndName(ItemRunEnd end) {
  switch (end) {
    case ItemRunEnd::kComplete:
      return "whole";
    case ItemRunEnd::kRefused:
      return "refused";
    case ItemRunEnd::kWrongInstance:
      return "wrong-instance";
    case ItemRunEnd::kUnreachable:
      return "unreachable";
    case ItemRunEnd::kServerError:
      return "server-error";
    case ItemRunEnd::kImpossible:
      return "impossible";
    case ItemRunEnd::kWrongVersion:
      return "wrong-version";
    case ItemRunEnd::kTooLong:
      return "too-long";
    case ItemRunEnd::kBroken:
      break;
  }
  return "broken";
}

ItemRun::ItemRun(Environment& environment, BackendDirectory& directory,
                 const BackendProtocol& protocol, ItemProgress& progress, ItemRunOptions options,
                 Callback done)
    : environment_(environment),
      directory_(directory),
      protocol_(protocol),
      progress_(progress),
      options_(options),
      done_(std::move(done)),
      stall_timer_(environment) {}

ItemRun::~ItemRun() {
  if (!ended_) directory_.End(instance(), BackendEnd::kCancelled, Duration(0));
}

void ItemRun::Start(HttpCaller& http, const BackendInstance& target,
                    const BackendRequest& request) {
  target_ = target;
  request_id_ = request.request_id;
  started_at_ = environment_.Now();
  directory_.Begin(instance());
  WatchForStall();
  handle_ = http.Start(target.address, protocol_.MakeRequest(request), *this);
}

void ItemRun::WatchForStall() {
  stall_timer_.Arm(options_.stall_timeout, [this] {
    End(ItemRunEnd::kBroken, "stalled: no byte received within the stall timeout");
  });
}

void ItemRun::OnHead(const HttpResponseHead& head) {
  if (ended_) return;
  const BackendAnswer answer = protocol_.ReadAnswer(head, request_id_);
  if (!answer.own) return End(ItemRunEnd::kBroken, "response belongs to another request");
  if (answer.wrong_instance) return End(ItemRunEnd::kWrongInstance, "another instance responded");
  if (answer.not_run) return End(ItemRunEnd::kRefused, "refused by the engine");
  if (head.status == kUnprocessableEntity) return End(ItemRunEnd::kImpossible, "status 422");
  if (head.status == kInternalServerError) return End(ItemRunEnd::kServerError, "status 500");
  if (head.status != kOk) return End(ItemRunEnd::kBroken, fmt::format("status {}", head.status));
  streaming_ = true;
  if (answer.version) version_ = *answer.version;
  WatchForStall();
}

void ItemRun::OnBody(std::string bytes) {
  if (ended_ || !streaming_) return;
  WatchForStall();
  for (const std::string& lines : splitter_.Append(bytes)) {
    if (!HandleEvent(lines)) return;
  }
  if (splitter_.partial_bytes() > kMaxEventBytes) {
    End(ItemRunEnd::kBroken, "an event of the stream is too long");
  }
}

bool ItemRun::HandleEvent(const std::string& lines) {
  const auto event = protocol_.ReadEvent(lines);
  if (!event.ok()) {
    End(ItemRunEnd::kBroken, std::string(event.status().message()));
    return false;
  }
  if (!event->has_value()) return true;
  if ((*event)->version) version_ = *(*event)->version;
  if ((*event)->id != progress_.events + 1) {
    End(ItemRunEnd::kBroken,
        fmt::format("received event {} after event {}", (*event)->id, progress_.events));
    return false;
  }
  if (!VersionAllowed(version_)) {
    End(ItemRunEnd::kWrongVersion,
        fmt::format("made by version {}, which is not allowed", version_));
    return false;
  }
  if (progress_.text.size() + (*event)->data.size() >= kMaxTextBytes) {
    End(ItemRunEnd::kTooLong, "the text of the item is too long");
    return false;
  }
  progress_.version = version_;
  progress_.Append(**event);
  const TimePoint now = environment_.Now();
  if (last_event_at_ && on_gap_) on_gap_(instance(), now - *last_event_at_);
  last_event_at_ = now;
  return true;
}

bool ItemRun::VersionAllowed(WeightVersion version) const {
  if (version < options_.versions.min_version) return false;
  return !options_.versions.single_version || progress_.events == 0 || progress_.version == version;
}

void ItemRun::OnFinished() {
  if (ended_) return;
  if (!streaming_ || splitter_.HasPartialEvent() || progress_.events == 0) {
    return End(ItemRunEnd::kBroken, "stream ended without a complete event");
  }
  End(ItemRunEnd::kComplete, "");
}

void ItemRun::OnFailed(CallFailure failure, const std::string& reason) {
  if (ended_) return;
  const bool unreachable = failure == CallFailure::kNotSent;
  End(unreachable ? ItemRunEnd::kUnreachable : ItemRunEnd::kBroken, reason);
}

void ItemRun::End(ItemRunEnd end, const std::string& reason) {
  if (ended_) return;
  ended_ = true;
  stall_timer_.Cancel();
  handle_.reset();
  directory_.End(instance(), BackendEndOf(end), environment_.Now() - started_at_);
  const Callback done = std::move(done_);
  done(end, reason);
}

}  // namespace millstair
