/// Limits the rate at which one node sends to one back end to what the back end answers in time.
/// Nodes that send to the same back end share it without exchanging messages, since each gets what
/// the back end gives it.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "common/time.h"
#include "limits/decaying_rate.h"

namespace millstair {

/// Why a limit takes effect or ends, for logs.
enum class SendLimitReason : uint8_t {
  kRefused,  ///< the back end refused a request for lack of capacity
  kLate,     ///< responses took longer than the target or did not arrive
  kCalm,     ///< demand stayed below the limit and nothing was refused or late
};

/// "refused", "late" or "calm".
std::string_view SendLimitReasonName(SendLimitReason reason);

/// A limit took effect or ended.
struct SendLimitChange {
  bool limited = false;
  SendLimitReason reason = SendLimitReason::kCalm;
  /// Sends per second that are allowed now, or were at the end.
  double per_second = 0;
};

/// Value type; uses the time of the node's environment. Each method that may start or end the limit
/// returns the change.
class SendRateLimit {
 public:
  using Change = std::optional<SendLimitChange>;

  explicit SendRateLimit(TimePoint now);

  /// Whether a request may be sent now. True if there is no limit.
  bool Allows(TimePoint now);
  /// Whether a send is allowed that is taken from those of the next moments. The rate stays the
  /// same: the next sends are allowed later.
  bool AllowsAdvance(TimePoint now);
  /// Whether a send is allowed that would be lost if it were not used soon.
  bool AllowsSpare(TimePoint now);
  /// Takes one send; the balance may become negative.
  void Take(TimePoint now);
  /// Returns a send that was taken and not used.
  void Return(TimePoint now);

  /// The back end responded within the target.
  Change RecordInTime(TimePoint now);
  /// A response took longer than the target, or none arrived.
  Change RecordLate(TimePoint now);
  /// A response was late by `excess`: the back end's queue is longer by that time than what it
  /// answers in time. While the limit is in force, nothing is sent until the queue has shrunk by
  /// it. No effect if `excess` is zero or less.
  void RecordBacklog(TimePoint now, Duration excess);
  /// The back end refused a request for lack of capacity.
  Change RecordRefused(TimePoint now);
  /// A request had to wait because no back end that could take it allowed a send.
  void RecordDenied(TimePoint now) { disturbed_at_ = now; }
  /// Ends the limit if for a second it denied nothing, nothing was refused, and no more was late
  /// than a limit needs to start.
  Change EndIfCalm(TimePoint now);

  /// Lowest rate of the limit in sends per second, so that a back end from which nothing arrives in
  /// time is tried again.
  void SetFloor(double per_second, TimePoint now);

  bool limited() const { return limited_; }
  /// Sends per second that the limit allows; meaningless without a limit.
  double PerSecond(TimePoint now) const;
  /// Time until the limit allows a send.
  Duration UntilAllowed(TimePoint now);

 private:
  Change Start(SendLimitReason reason, TimePoint now);
  void Fill(TimePoint now);
  /// Whether `sends` may be sent now.
  bool Holds(TimePoint now, double sends);
  /// Sends allowed per response in time.
  double Headroom(TimePoint now) const;

  DecayingRate in_time_;
  /// The same in a shorter window.
  DecayingRate recently_in_time_;
  DecayingRate late_;
  double floor_per_second_ = 0;
  bool limited_ = false;
  double tokens_ = 0;
  TimePoint filled_at_;
  /// Nothing is sent before, so that the back end's queue shrinks.
  TimePoint hold_until_;
  /// Latest refusal or late response.
  TimePoint overloaded_at_;
  /// Latest moment at which something showed that the limit is needed.
  TimePoint disturbed_at_;
};

}  // namespace millstair
