#include "limits/send_rate_limit.h"

#include <algorithm>

namespace millstair {
namespace {

/// Long enough to hold a few responses at four sends per second, short enough to follow a change of
/// the back end's pace within about a second.
constexpr Duration kWindow = std::chrono::seconds(1);
/// Window for the rate when a limit starts: at the beginning of a burst the longer window has seen
/// little of it, and a rate that starts too low grows only slowly.
constexpr Duration kStartWindow = std::chrono::milliseconds(200);
/// Sends per response in time. Above 1, so that the rate grows once the back end has spare
/// capacity. In equilibrium 1 of 1.25 responses is in time.
constexpr double kHeadroom = 1.25;
/// Sends allowed in a row. Requests arrive unevenly; more would fill the back end's queue at once
/// when many nodes send to it.
constexpr double kBurst = 2;
/// Sends that may be taken in advance. At a gateway with a few sends a second, requests of a tenant
/// that is entitled to them arrive two or three at a time between two sends.
constexpr double kMaxAdvance = 3;
/// The same once nothing was refused or late for `kRecoveryPeriod`, which is rare while the limit
/// fits. With the smaller factor alone, a back end that was silent for some seconds would get its
/// full share back only after about 12 s.
constexpr double kRecoveryHeadroom = 2;
constexpr Duration kRecoveryPeriod = std::chrono::seconds(3);
/// A limit starts, and stays in force, at this number of late responses in the window, if they are
/// also the share of responses that `kHeadroom` does not tolerate. A single late response is no
/// sign of overload.
constexpr double kLateToStart = 1.5;
constexpr double kLateShareToStart = 1 - 1 / kHeadroom;
/// Bounds a pause: a response may be late for other reasons than a queue.
constexpr Duration kMaxHold = std::chrono::milliseconds(500);
constexpr Duration kCalmPeriod = std::chrono::seconds(1);
/// Bounds the time until the next look at a limit whose rate is zero.
constexpr double kMinPerSecond = 0.01;

}  // namespace

std::string_view SendLimitReasonName(SendLimitReason reason) {
  switch (reason) {
    case SendLimitReason::kRefused:
      return "refused";
    case SendLimitReason::kLate:
      return "late";
    case SendLimitReason::kCalm:
      break;
  }
  return "calm";
}

SendRateLimit::SendRateLimit(TimePoint now)
    : in_time_(kWindow),
      recently_in_time_(kStartWindow),
      late_(kWindow),
      filled_at_(now),
      overloaded_at_(now),
      disturbed_at_(now) {}

bool SendRateLimit::Allows(TimePoint now) { return Holds(now, 1); }

bool SendRateLimit::AllowsAdvance(TimePoint now) { return Holds(now, 1 - kMaxAdvance); }

bool SendRateLimit::AllowsSpare(TimePoint now) { return Holds(now, kBurst); }

bool SendRateLimit::Holds(TimePoint now, double sends) {
  if (!limited_) return true;
  Fill(now);
  if (now < hold_until_) return false;
  // Keeps a rounding error from delaying a complete token.
  constexpr double kRounding = 1e-6;
  return tokens_ + kRounding >= sends;
}

void SendRateLimit::Take(TimePoint now) {
  if (!limited_) return;
  Fill(now);
  tokens_ -= 1;
}

void SendRateLimit::Return(TimePoint now) {
  if (!limited_) return;
  Fill(now);
  tokens_ = std::min(tokens_ + 1, kBurst);
}

SendRateLimit::Change SendRateLimit::RecordInTime(TimePoint now) {
  Fill(now);
  in_time_.Add(now);
  recently_in_time_.Add(now);
  return EndIfCalm(now);
}

SendRateLimit::Change SendRateLimit::RecordLate(TimePoint now) {
  Fill(now);
  late_.Add(now);
  overloaded_at_ = now;
  const double late = late_.Count(now);
  const bool overloaded =
      late >= kLateToStart && late >= kLateShareToStart * (late + in_time_.Count(now));
  if (!overloaded) return std::nullopt;
  disturbed_at_ = now;
  return Start(SendLimitReason::kLate, now);
}

void SendRateLimit::RecordBacklog(TimePoint now, Duration excess) {
  if (excess <= Duration(0)) return;
  hold_until_ = std::max(hold_until_, now + std::min(excess, kMaxHold));
  if (!limited_) return;
  // What accrued before was meant for a shorter queue, and nothing accrues meanwhile.
  tokens_ = std::min(tokens_, 0.0);
  filled_at_ = hold_until_;
}

SendRateLimit::Change SendRateLimit::RecordRefused(TimePoint now) {
  Fill(now);
  overloaded_at_ = now;
  disturbed_at_ = now;
  return Start(SendLimitReason::kRefused, now);
}

SendRateLimit::Change SendRateLimit::Start(SendLimitReason reason, TimePoint now) {
  if (limited_) return std::nullopt;
  limited_ = true;
  // Late responses tell that the recent rate was too high.
  if (reason == SendLimitReason::kRefused) in_time_.Raise(recently_in_time_.PerSecond(now), now);
  tokens_ = 0;
  filled_at_ = now;
  return SendLimitChange{true, reason, PerSecond(now)};
}

SendRateLimit::Change SendRateLimit::EndIfCalm(TimePoint now) {
  if (!limited_ || now - disturbed_at_ < kCalmPeriod) return std::nullopt;
  limited_ = false;
  return SendLimitChange{false, SendLimitReason::kCalm, PerSecond(now)};
}

void SendRateLimit::SetFloor(double per_second, TimePoint now) {
  Fill(now);
  floor_per_second_ = per_second;
}

double SendRateLimit::PerSecond(TimePoint now) const {
  return std::max(Headroom(now) * in_time_.PerSecond(now), floor_per_second_);
}

double SendRateLimit::Headroom(TimePoint now) const {
  return now - overloaded_at_ < kRecoveryPeriod ? kHeadroom : kRecoveryHeadroom;
}

Duration SendRateLimit::UntilAllowed(TimePoint now) {
  if (Allows(now)) return Duration(0);
  const Duration filled = FromSeconds((1 - tokens_) / std::max(PerSecond(now), kMinPerSecond));
  return filled + std::max(hold_until_ - now, Duration(0));
}

void SendRateLimit::Fill(TimePoint now) {
  if (now < filled_at_) return;
  // The rate decays meanwhile; its integral is what the window's count has lost.
  const double by_responses = Headroom(now) * (in_time_.Count(filled_at_) - in_time_.Count(now));
  const double by_floor = floor_per_second_ * ToSeconds(now - filled_at_);
  tokens_ = std::min(tokens_ + std::max(by_responses, by_floor), kBurst);
  filled_at_ = now;
}

}  // namespace millstair
