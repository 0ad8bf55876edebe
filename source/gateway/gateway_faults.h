/// Faults that tests and the simulator inject into a gateway to verify that their checks detect
/// them. All are off in production.
#pragma once

namespace millstair {

struct GatewayFaults {
  /// Dispatches a non-repeatable request without the once-only claim.
  bool skip_claim = false;
  /// Reports "not-run" for a request that was sent to a back end.
  bool not_run_after_send = false;
  /// Retries a non-repeatable request whose outcome is unknown.
  bool repeat_possibly_run = false;
  /// Routes requests to back ends that are draining.
  bool work_to_leaving = false;
  /// Finishes a truncated response as if it were complete.
  bool finish_truncated = false;
  /// Dispatches requests without a configuration lease.
  bool ignore_lease = false;
};

}  // namespace millstair
