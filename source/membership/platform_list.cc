#include "membership/platform_list.h"

#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

constexpr int kStatusOk = 200;
constexpr size_t kMaxListBytes = 8 << 20;

std::optional<PlatformMachineState> ParseState(std::string_view text) {
  if (text == "live") return PlatformMachineState::kLive;
  if (text == "leaving") return PlatformMachineState::kLeaving;
  if (text == "gone") return PlatformMachineState::kGone;
  return std::nullopt;
}

const boost::json::string* StringField(const boost::json::value& value, std::string_view name) {
  const auto* object = value.if_object();
  if (object == nullptr) return nullptr;
  const auto* field = object->if_contains({name.data(), name.size()});
  return field == nullptr ? nullptr : field->if_string();
}

}  // namespace

absl::StatusOr<PlatformMachines> ParsePlatformList(const std::string& json) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(json, error);
  const auto invalid =
      absl::InvalidArgumentError("invalid machine list: expected machines with address and state");
  if (error || !document.is_object()) return invalid;
  const auto* field = document.as_object().if_contains("machines");
  const auto* machines = field == nullptr ? nullptr : field->if_array();
  if (machines == nullptr) return invalid;
  PlatformMachines result;
  for (const boost::json::value& machine : *machines) {
    const auto* address = StringField(machine, "address");
    const auto* state = StringField(machine, "state");
    if (address == nullptr || state == nullptr) return invalid;
    const auto parsed = ParseState({state->data(), state->size()});
    if (!parsed) return invalid;
    result[std::string(address->data(), address->size())] = *parsed;
  }
  return result;
}

/// One fetch of the list.
class PlatformPoller::Call : public HttpCallObserver {
 public:
  explicit Call(PlatformPoller& poller) : poller_(poller) {}

  void Start() {
    HttpRequest request;
    request.method = "GET";
    request.target = "/machines";
    handle_ = poller_.http_.Start(poller_.address_, std::move(request), *this);
  }

  void OnHead(const HttpResponseHead& head) override { status_ = head.status; }

  void OnBody(std::string bytes) override {
    if (body_.size() < kMaxListBytes) body_ += bytes;
  }

  void OnFinished() override {
    if (status_ != kStatusOk) {
      poller_.Finish(absl::UnavailableError("status " + std::to_string(status_)));
    } else {
      poller_.Finish(std::move(body_));
    }
  }

  void OnFailed(CallFailure, const std::string& reason) override {
    poller_.Finish(absl::UnavailableError(reason));
  }

 private:
  PlatformPoller& poller_;
  int status_ = 0;
  std::string body_;
  std::unique_ptr<CallHandle> handle_;
};

PlatformPoller::PlatformPoller(Environment& environment, HttpCaller& http, std::string address,
                               Duration interval, Listener listener)
    : http_(http),
      address_(std::move(address)),
      interval_(interval),
      listener_(std::move(listener)),
      timer_(environment) {}

PlatformPoller::~PlatformPoller() = default;

void PlatformPoller::Start() {
  if (started_ || address_.empty()) return;
  started_ = true;
  Poll();
}

void PlatformPoller::Stop() {
  started_ = false;
  timer_.Cancel();
  call_.reset();
}

void PlatformPoller::Poll() {
  // Replaces a call that has not finished within the interval.
  call_ = std::make_unique<Call>(*this);
  timer_.Arm(interval_, [this] { Poll(); });
  call_->Start();
}

void PlatformPoller::Finish(absl::StatusOr<std::string> body) {
  // Runs in the call's own callback, so the call is destroyed later.
  auto machines =
      body.ok() ? ParsePlatformList(*body) : absl::StatusOr<PlatformMachines>(body.status());
  if (!machines.ok()) {
    LogEvent(EventId::kPlatformListUnread, "address={} error=\"{}\"", address_,
             std::string(machines.status().message()));
    return;
  }
  listener_(*machines);
}

}  // namespace millstair
