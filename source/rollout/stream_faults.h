/// Fault switches that each break one guarantee, so that tests and the simulator can show that
/// their checks detect it. All are off in production.
#pragma once

namespace millstair {

struct StreamFaults {
  /// A sample that was read before is delivered again without a staleness check.
  bool staleness_untested_at_reread = false;
  /// Every valid completion of a sample is accepted, not only the first.
  bool first_completion_not_fenced = false;
  /// The worker records the version that the configuration wants served, not the one that the
  /// engine reported.
  bool spans_from_routing_belief = false;
  /// A step that is put again is treated as new.
  bool step_not_idempotent = false;
  /// A published version takes effect for deliveries only once a later sample was appended.
  bool publish_not_ordered = false;
};

}  // namespace millstair
