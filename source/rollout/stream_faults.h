/// Switches that break one promise each, so that tests and the simulator can show that their checks
/// catch it. All are off in the product.
#pragma once

namespace millstair {

struct StreamFaults {
  /// A sample that was read before is handed on again without a test of its age.
  bool staleness_untested_at_reread = false;
  /// Every valid completion of a sample is accepted, not the first only.
  bool first_completion_not_fenced = false;
  /// The worker names the version that the configuration wants served, not what the engine said.
  bool spans_from_routing_belief = false;
  /// A step that is put again is taken as new.
  bool step_not_idempotent = false;
  /// A published version counts at hand-on only once a later sample was appended.
  bool publish_not_ordered = false;
};

}  // namespace millstair
