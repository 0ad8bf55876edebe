/// Reports one attempt at a back end to the directory: its start, the first byte of its response
/// and its end. Header-only.
#pragma once

#include <utility>

#include "common/environment.h"
#include "ingress/backend_directory.h"

namespace millstair {

/// Owned by a flow's attempt. End is called before it is destroyed.
class BackendAttempt {
 public:
  /// `target` is the route's; 0 if it has none.
  BackendAttempt(Environment& environment, BackendDirectory& directory, InstanceId instance,
                 Duration target)
      : environment_(environment),
        directory_(directory),
        instance_(std::move(instance)),
        target_(target),
        sent_at_(environment.Now()) {
    directory_.Begin(instance_);
  }

  /// Bytes of the back end's response to this attempt arrived. Called for each part of a response,
  /// so that a long one shows that the back end isn't silent.
  void OnResponse() {
    responded_ = true;
    directory_.OnResponse(instance_);
  }

  /// The attempt is still in progress; reports it if it has waited too long for a response.
  void ReportIfUnanswered() {
    if (!responded_) directory_.OnUnanswered(instance_, sent_at_, target_);
  }

  /// `paused` is how long this node did not read the response.
  void End(BackendEnd end, Duration paused) {
    const bool unanswered = end == BackendEnd::kCancelled && !responded_;
    if (unanswered) return directory_.EndUnanswered(instance_, sent_at_, target_);
    directory_.End(instance_, end, environment_.Now() - sent_at_ - paused);
  }

  TimePoint sent_at() const { return sent_at_; }

 private:
  Environment& environment_;
  BackendDirectory& directory_;
  const InstanceId instance_;
  const Duration target_;
  const TimePoint sent_at_;
  bool responded_ = false;
};

}  // namespace millstair
