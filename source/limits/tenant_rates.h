/// Recent rates of requests by tenant.
#pragma once

#include <map>
#include <string>

#include "common/time.h"
#include "limits/decaying_rate.h"

namespace millstair {

/// Holds the tenants whose requests are recent enough to count. Value type; times must not
/// decrease.
class TenantRates {
 public:
  /// Requests are weighted by how recent they are, relative to `window`.
  explicit TenantRates(Duration window) : window_(window) {}

  void Record(const std::string& tenant, TimePoint now);

  /// Requests per second; 0 for a tenant that is not held.
  double PerSecond(const std::string& tenant, TimePoint now) const;
  /// Sum of all tenants.
  double SumPerSecond(TimePoint now) const;
  size_t size() const { return rates_.size(); }
  /// Whether `tenant` asks for clearly less than the mean of the tenants held: these are the
  /// tenants that max-min fairness serves first. False if it is the only one.
  bool IsBelowMean(const std::string& tenant, TimePoint now) const;
  /// Sum of the tenants that are below the mean.
  double SumBelowMean(TimePoint now) const;

 private:
  /// Rates up to this are below the mean.
  double BelowMeanBound(TimePoint now) const;
  void ForgetIdle(TimePoint now);

  Duration window_;
  std::map<std::string, DecayingRate> rates_;
  TimePoint checked_at_;
};

}  // namespace millstair
