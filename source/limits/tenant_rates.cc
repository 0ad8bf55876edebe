#include "limits/tenant_rates.h"

namespace millstair {
namespace {

/// A tenant is forgotten about two windows after a single request.
constexpr double kForgottenCount = 0.1;
/// Each check costs time in proportion to the number of tenants.
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
/// Share of the mean below which the demand of a tenant is clearly less.
constexpr double kBelowMeanShare = 0.85;

}  // namespace

void TenantRates::Record(const std::string& tenant, TimePoint now) {
  ForgetIdle(now);
  rates_.try_emplace(tenant, window_).first->second.Add(now);
}

void TenantRates::ForgetIdle(TimePoint now) {
  if (now - checked_at_ < kCheckInterval) return;
  checked_at_ = now;
  std::erase_if(rates_,
                [now](const auto& entry) { return entry.second.Count(now) < kForgottenCount; });
}

double TenantRates::PerSecond(const std::string& tenant, TimePoint now) const {
  const auto found = rates_.find(tenant);
  return found == rates_.end() ? 0 : found->second.PerSecond(now);
}

double TenantRates::SumPerSecond(TimePoint now) const {
  double sum = 0;
  for (const auto& [name, rate] : rates_) sum += rate.PerSecond(now);
  return sum;
}

double TenantRates::BelowMeanBound(TimePoint now) const {
  return kBelowMeanShare * SumPerSecond(now) / static_cast<double>(rates_.size());
}

bool TenantRates::IsBelowMean(const std::string& tenant, TimePoint now) const {
  return rates_.size() > 1 && PerSecond(tenant, now) <= BelowMeanBound(now);
}

double TenantRates::SumBelowMean(TimePoint now) const {
  if (rates_.size() < 2) return 0;
  const double bound = BelowMeanBound(now);
  double sum = 0;
  for (const auto& [name, rate] : rates_) {
    if (rate.PerSecond(now) <= bound) sum += rate.PerSecond(now);
  }
  return sum;
}

}  // namespace millstair
