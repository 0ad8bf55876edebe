/// A configuration client whose configuration is set by a test.
#pragma once

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "cluster/configuration_client.h"

namespace millstair {

/// The test sets whether the configuration is confirmed; work never waits for a confirmation.
class FakeConfigurationClient : public ConfigurationClient {
 public:
  void Start() override {}
  const Configuration& configuration() const override { return held; }
  bool LeaseValid() const override { return lease; }
  void WhenCurrent(std::function<void()> work) override { work(); }
  std::optional<TimePoint> ConfirmedSince() const override { return std::nullopt; }
  std::optional<Duration> ConfirmationAge() const override { return std::nullopt; }
  NodeId ConfirmedBy() const override { return NodeId(); }
  bool IsIsolated() const override { return false; }
  Duration ControlSilence() const override { return Duration(0); }
  void OnIsolationChange(std::function<void(bool)>) override {}
  void OnChange(ChangeListener callback) override { listeners.push_back(std::move(callback)); }
  void Report(EngineObservation observation) override { reports.push_back(std::move(observation)); }
  void SetLeaving() override { leaving = true; }
  void Receive(const NodeId&, const PeerMessage&) override {}

  /// Applies `configuration` and notifies the listeners.
  void Set(Configuration configuration) {
    held = std::move(configuration);
    for (const auto& listener : listeners) listener(ConfigurationDelta{});
  }

  Configuration held;
  bool lease = true;
  bool leaving = false;
  std::vector<EngineObservation> reports;
  std::vector<ChangeListener> listeners;
};

}  // namespace millstair
