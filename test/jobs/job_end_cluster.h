/// Storage nodes of a job group, gateways that submit and end jobs, and two engines, in virtual
/// time. Nodes lose connections, processes and disks for a while; these outages are recorded.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "consensus/group_host.h"
#include "jobs/job_ender.h"
#include "jobs/job_group_bootstrapper.h"
#include "storage/memory_file_system.h"
#include "test/jobs/job_scheduler_fixture.h"
#include "test/jobs/job_service_fixture.h"

namespace millstair {

/// What all storage nodes of a play share.
struct JobEndSetting {
  VirtualScheduler& scheduler;
  Wires& wires;
  FakeBackends& engines;
  FixedTable reader;
  Configuration configuration;
  std::vector<GroupMember> members;
  FakeProtocol protocol;
};

/// One process of a storage node, wired as in jobs/storage_node.cc. Its configuration is always
/// confirmed, so that nothing but the job group itself holds its work back.
class JobEndStore {
 public:
  JobEndStore(JobEndSetting& setting, MemoryFileSystem& disk, const NodeId& name)
      : setting_(setting),
        environment_(setting.scheduler, setting.scheduler.Random()()),
        transport_(setting.wires, name.value()),
        ingress_(environment_, setting.engines, setting.protocol, setting.reader, Zone("z1")),
        loads_(environment_, setting.engines, ingress_.directory(), setting.protocol, name, {}),
        service_(environment_, transport_) {
    disk.Attach(environment_);
    service_.SetAdmission([this](const JobSpec& job) -> std::optional<JobRejection> {
      if (work_ == nullptr) return std::nullopt;
      return work_->RejectionOf(job);
    });
    service_.SetEndListener([this](const JobId& job) {
      if (work_ != nullptr) work_->OnEndReceived(job);
    });
    auto identity = LoadOrCreateIdentity(disk, environment_.Random(), "play", name, name.value());
    REQUIRE(identity.ok());
    host_ = MakeGroupHost(environment_, transport_, disk, *identity, {}, {},
                          [this](const GroupId&) { return MakeStateMachine(); });
    host_->OnLeadershipChange([this](const GroupId&) { UpdateLeadership(); });
    REQUIRE(host_->Start().ok());
    REQUIRE(host_->OpenGroup(kJobGroup, setting.members).ok());
    ingress_.Update(setting.configuration);
    loads_.Update(setting.configuration, ingress_.routes());
    UpdateLeadership();
  }
  ~JobEndStore() { environment_.Kill(); }

  void Receive(const NodeId& from, const PeerMessage& message) {
    if (message.kind == MessageKind::kRaft) return host_->Receive(from, message);
    service_.Receive(from, message);
  }
  bool Leads() { return host_->Find(kJobGroup)->IsLeader(); }
  const JobStateMachine& state() const { return *state_; }

 private:
  std::unique_ptr<StateMachine> MakeStateMachine() {
    auto machine = std::make_unique<JobStateMachine>();
    state_ = machine.get();
    machine->OnChange([this](JobChange change, const JobId& job) {
      service_.OnStateChange(job);
      if (work_ != nullptr) work_->OnStateChange(change, job);
    });
    return machine;
  }

  void UpdateLeadership() {
    RaftGroup* const group = host_->Find(kJobGroup);
    service_.Attach(group, state_);
    const Term term = group != nullptr && group->IsLeader() ? group->CurrentTerm() : Term();
    if (term == leading_term_) return;
    leading_term_ = term;
    loads_.SetLeading(term == Term() ? nullptr : group);
    if (work_ == nullptr) {
      work_ = std::make_unique<JobScheduler>(environment_, setting_.engines, ingress_, loads_,
                                             *state_, *group, JobSchedulerOptions());
      loads_.OnReady([this] { work_->Pump(); });
    }
    work_->SetLeading(term != Term());
    if (term != Term()) service_.ProposeReceivedEnds();
  }

  JobEndSetting& setting_;
  VirtualEnvironment environment_;
  WireEnd transport_;
  IngressService ingress_;
  LoadScheduler loads_;
  JobService service_;
  std::unique_ptr<GroupHost> host_;
  /// Owned by the group's replica.
  JobStateMachine* state_ = nullptr;
  std::unique_ptr<JobScheduler> work_;
  Term leading_term_;
};

/// A gateway. What arrives while it is paused is handled when it goes on.
class JobEndGateway {
 public:
  JobEndGateway(JobEndSetting& setting, const std::string& name)
      : environment_(setting.scheduler, setting.scheduler.Random()()),
        transport_(setting.wires, name),
        jobs_(
            environment_, transport_, [&setting] { return Nodes(setting); },
            [&setting] { return Nodes(setting); }),
        ender_(environment_, jobs_, nullptr) {}

  void Arrive(std::function<void()> work) {
    if (!environment_.suspended()) return work();
    arrived_.push_back(std::move(work));
  }
  void Receive(const NodeId& from, const PeerMessage& message) {
    Arrive([this, from, message] { jobs_.Receive(from, message); });
  }
  void Pause() { environment_.Suspend(); }
  void GoOn() {
    environment_.Wake();
    for (auto& work : std::exchange(arrived_, {})) work();
  }
  JobClient& jobs() { return jobs_; }
  JobEnder& ender() { return ender_; }

 private:
  static std::vector<NodeId> Nodes(const JobEndSetting& setting) {
    std::vector<NodeId> nodes;
    for (const GroupMember& member : setting.members) nodes.push_back(member.node);
    return nodes;
  }

  VirtualEnvironment environment_;
  WireEnd transport_;
  JobClient jobs_;
  JobEnder ender_;
  std::vector<std::function<void()>> arrived_;
};

}  // namespace millstair
