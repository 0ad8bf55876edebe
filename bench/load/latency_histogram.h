/// Latency histogram with logarithmic bins.
#pragma once

#include <cstdint>
#include <memory>

#include "common/time.h"

namespace millstair {

/// Thread-safe. Covers 0.05 ms to 1,000 s with bins about 2.5 % wide.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Duration latency);
  uint64_t count() const;
  /// Upper edge of the bin that contains the quantile (0..1); 0 if empty.
  Duration Quantile(double quantile) const;
  Duration Largest() const;

 private:
  struct Bins;
  std::unique_ptr<Bins> bins_;
};

}  // namespace millstair
