/// Fakes for the dependencies of the rollout code: configuration, consensus, routing, engines by
/// address, the scorer.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "boost/json.hpp"
#include "cluster/configuration_client.h"
#include "cluster/control_client.h"
#include "common/virtual_environment.h"
#include "consensus/raft_group.h"
#include "emulator/model/engine_model.h"
#include "emulator/model/platform_models.h"
#include "rollout/stream_state.h"
#include "routing/engine_placement.h"
#include "test/cluster/fake_configuration_client.h"

namespace millstair {

inline const StreamName kStream("drafts");
inline const ModelName kModel("routing");

/// One log with a replica of the stream on each control node. Every entry is applied to all
/// replicas.
class FakeLog {
 public:
  explicit FakeLog(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void Append(std::string command, std::function<void(absl::StatusOr<std::string>)> done) {
    scheduler_.Schedule(std::chrono::milliseconds(2), [this, command, done] {
      std::string result;
      ++index_;
      for (StreamState* replica : replicas) result = replica->Apply(LogIndex(index_), command);
      done(result);
    });
  }

  std::vector<StreamState*> replicas;
  NodeId leader;
  uint64_t term = 1;

 private:
  VirtualScheduler& scheduler_;
  uint64_t index_ = 0;
};

class FakeGroup : public RaftGroup {
 public:
  FakeGroup(FakeLog& log, NodeId node) : id_(StreamGroup(kStream)), log_(log), node_(node) {}
  const GroupId& id() const override { return id_; }
  bool IsLeader() const override { return log_.leader == node_; }
  std::optional<NodeId> Leader() const override { return log_.leader; }
  Term CurrentTerm() const override { return Term(log_.term); }
  LogIndex AppliedIndex() const override { return LogIndex(0); }
  std::vector<GroupMember> Members() const override { return {}; }
  bool HasCommittedMembers() const override { return IsLeader(); }
  bool HasReplied(ReplicaId, TimePoint) const override { return false; }
  bool IsUnresponsive(ReplicaId, TimePoint) const override { return false; }
  Duration UncommittedFor() const override { return Duration(0); }
  const absl::Status& Failure() const override { return failure_; }
  void Propose(std::string command,
               std::function<void(absl::StatusOr<std::string>)> done) override {
    if (!IsLeader()) return done(absl::UnavailableError("not the leader"));
    log_.Append(std::move(command), std::move(done));
  }
  void ConfirmRead(std::function<void(absl::StatusOr<LogIndex>)> done) override {
    done(LogIndex(0));
  }
  void AddLearner(GroupMember, std::function<void(absl::Status)>) override {}
  void Promote(ReplicaId, std::function<void(absl::Status)>) override {}
  void RemoveMember(ReplicaId, std::function<void(absl::Status)>) override {}
  void TransferLeadership(std::function<void(absl::Status)>) override {}

 private:
  GroupId id_;
  FakeLog& log_;
  NodeId node_;
  absl::Status failure_;
};

/// Places generations round-robin, up to a limit for each engine.
class FakePlacement : public EnginePlacement {
 public:
  std::optional<Placement> Place(const ResourceKey&, const RoutingRequest& request) override {
    for (size_t i = 0; i < engines.size(); ++i) {
      const auto& [name, address] = engines[next_++ % engines.size()];
      if (request.excluded.contains(name) || unavailable.contains(name)) continue;
      if (running_[name] >= limit) continue;
      ++running_[name];
      Placement placement;
      placement.id = PlacementId(++last_);
      placement.choice = {name, address, std::chrono::seconds(1)};
      placed_[placement.id] = name;
      return placement;
    }
    return std::nullopt;
  }
  void End(PlacementId id, const PlacementOutcome& outcome) override {
    const auto found = placed_.find(id);
    if (found == placed_.end()) return;
    --running_[found->second];
    placed_.erase(found);
    ended.push_back(outcome);
  }
  uint32_t RolloutCapacity(const ResourceKey&) const override {
    uint32_t capacity = 0;
    for (const auto& [name, address] : engines) {
      if (unavailable.contains(name)) continue;
      const auto running = running_.find(name);
      capacity += limit - (running == running_.end() ? 0 : running->second);
    }
    return capacity;
  }

  uint32_t limit = 8;
  std::vector<std::pair<EngineName, std::string>> engines;
  std::set<EngineName> unavailable;
  std::vector<PlacementOutcome> ended;

 private:
  size_t next_ = 0;
  uint64_t last_ = 0;
  std::map<EngineName, uint32_t> running_;
  std::map<PlacementId, EngineName> placed_;
};

/// Dispatches calls to engine models by address.
class FakeEngines : public EngineClient {
 public:
  std::unique_ptr<CallHandle> Generate(const std::string& address, GenerateRequest request,
                                       GenerateObserver& observer) override {
    class Handle : public CallHandle {
     public:
      Handle(EngineModel& model, GenerationId id) : model_(model), id_(id) {}
      ~Handle() override { model_.Cancel(id_); }

     private:
      EngineModel& model_;
      GenerationId id_;
    };
    EngineModel& model = *models.at(address);
    requests.push_back(request);
    return std::make_unique<Handle>(model, model.Generate(std::move(request), observer));
  }
  void SendOrder(const std::string& address, const EngineOrder& order,
                 std::function<void(absl::Status)> done) override {
    models.at(address)->ApplyOrder(order, std::move(done));
  }
  void FetchReport(const std::string& address,
                   std::function<void(absl::StatusOr<EngineReport>)> done) override {
    done(models.at(address)->Report());
  }
  void FetchCacheEvents(const std::string&, uint64_t, bool,
                        std::function<void(absl::StatusOr<CacheEvents>)>) override {}

  std::map<std::string, EngineModel*> models;
  std::vector<GenerateRequest> requests;
};

/// Responds to POST /score after a delay; the first `failures` calls fail.
class FakeScorer : public HttpCaller {
 public:
  explicit FakeScorer(VirtualScheduler& scheduler) : scheduler_(scheduler) {}
  std::unique_ptr<CallHandle> Start(const std::string&, HttpRequest request,
                                    HttpCallObserver& observer) override {
    class Handle : public CallHandle {
     public:
      std::shared_ptr<bool> alive = std::make_shared<bool>(true);
      ~Handle() override { *alive = false; }
    };
    auto handle = std::make_unique<Handle>();
    scheduler_.Schedule(std::chrono::milliseconds(5),
                        [this, alive = handle->alive, body = request.body, &observer] {
                          if (*alive) Answer(body, observer);
                        });
    return handle;
  }

  int failures = 0;
  int calls = 0;

 private:
  void Answer(const std::string& body, HttpCallObserver& observer) {
    ++calls;
    if (failures > 0) {
      --failures;
      return observer.OnFailed(CallFailure::kUnknown, "reset");
    }
    const std::string text(boost::json::parse(body).as_object().at("text").as_string());
    observer.OnHead({200, {}});
    observer.OnBody(boost::json::serialize(boost::json::object{{"score", ScoreOf(text)}}));
    observer.OnFinished();
  }

  VirtualScheduler& scheduler_;
};

}  // namespace millstair
