/// What a task on the leader of the cluster group needs of the control node that runs it.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "cluster/cluster_replica.h"
#include "cluster/control_node.h"

namespace millstair {

/// Outlives the task.
class LeaderTaskHost {
 public:
  virtual ~LeaderTaskHost() = default;
  /// Term in which this node leads the cluster group; nullopt while it does not lead.
  virtual std::optional<Term> LeadingTerm() const = 0;
  /// `done` gets whether this node still leads and has applied everything that earlier leaders
  /// committed.
  virtual void CatchUp(std::function<void(bool)> done) = 0;
  /// `done` gets whether the operation is committed and applied here; false leaves the outcome
  /// unknown.
  virtual void Propose(ClusterOperation operation, std::function<void(bool)> done) = 0;
};

/// Implements LeaderTaskHost for an interface that extends it.
template <class Host>
class ControlNodeHost : public Host {
 public:
  explicit ControlNodeHost(ControlNode& control) : control_(control) {}

  std::optional<Term> LeadingTerm() const override {
    if (!control_.IsClusterLeader()) return std::nullopt;
    return control_.groups().Find(kClusterGroup)->CurrentTerm();
  }
  void CatchUp(std::function<void(bool)> done) override {
    control_.ConfirmRead(
        [done = std::move(done)](const absl::Status& status) { done(status.ok()); });
  }
  void Propose(ClusterOperation operation, std::function<void(bool)> done) override {
    control_.Propose({std::move(operation), std::nullopt, {}},
                     [done = std::move(done)](const absl::StatusOr<ClusterResult>& result) {
                       done(result.ok() && result->code == ClusterResultCode::kOk);
                     });
  }

 protected:
  ControlNode& control_;
};

}  // namespace millstair
