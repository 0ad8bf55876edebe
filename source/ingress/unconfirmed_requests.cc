#include "ingress/unconfirmed_requests.h"

#include <chrono>
#include <utility>

#include "fmt/format.h"

namespace millstair {
namespace {

/// The first line follows soon after the first request, the others at longer intervals.
constexpr Duration kFirstLogDelay = std::chrono::seconds(1);
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

UnconfirmedRequests::UnconfirmedRequests(Environment& environment, LineWriter write_line)
    : environment_(environment), write_line_(std::move(write_line)), timer_(environment) {}

void UnconfirmedRequests::Add(const std::string& request, uint64_t routing_version, Duration age,
                              Duration control_silence) {
  ++count_;
  last_at_ = environment_.Now();
  if (age > longest_) {
    longest_ = age;
    control_silence_ = control_silence;
    longest_request_ = request;
    longest_version_ = routing_version;
  }
  if (!timer_.armed()) timer_.Arm(kFirstLogDelay, [this] { Log(); });
}

void UnconfirmedRequests::Log() {
  write_line_(
      EventId::kRequestsUnconfirmed,
      fmt::format("requests={} last_ms_ago={} longest_proof_ms={} longest_silent_ms={} "
                  "longest_request={} longest_routing={}",
                  count_, ToMilliseconds(environment_.Now() - last_at_), ToMilliseconds(longest_),
                  ToMilliseconds(control_silence_), longest_request_, longest_version_));
  timer_.Arm(kLogInterval, [this] { Log(); });
}

}  // namespace millstair
