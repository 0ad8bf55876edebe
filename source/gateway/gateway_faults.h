/// Faults of a gateway that tests and the simulator switch on to prove that their checks notice
/// them. All are off in the product.
#pragma once

namespace millstair {

struct GatewayFaults {
  /// Dispatches a non-repeatable request without the once-only claim.
  bool skip_claim = false;
  /// Says "not-run" of a request whose bytes went to a back end.
  bool not_run_after_send = false;
  /// Repeats a non-repeatable request whose outcome is unknown.
  bool repeat_possibly_run = false;
  /// Sends work to back ends that are leaving.
  bool work_to_leaving = false;
  /// Finishes an answer that broke off as if it were complete.
  bool finish_truncated = false;
  /// Gives out new work without a configuration lease.
  bool ignore_lease = false;
};

}  // namespace millstair
