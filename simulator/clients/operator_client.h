/// An operator: opens a session, applies the deployment's resources, then reads and changes test
/// resources ("notes") with compare-and-set through any control node. Unanswered changes are
/// resent.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "resources/resource.h"
#include "simulator/clients/request_client.h"
#include "simulator/fleet/deployment.h"
#include "simulator/fleet/run_context.h"

namespace millstair::simulator {

class OperatorClient {
 public:
  /// `name` must be unique among operators, so that their values are unique.
  OperatorClient(RunContext& context, const DeploymentPlan& plan, std::string name);

  /// Applies `resources` in one request without compare-and-set; `done` runs after acceptance.
  void Apply(const std::vector<Resource>& resources, std::function<void()> done);
  /// Puts one resource without compare-and-set; `done` receives its revision.
  void Put(const Resource& resource, std::function<void(Revision)> done);

  /// Reads and changes one of `notes` notes about every `interval`, until `until`.
  void StartNotes(Duration interval, uint32_t notes, Duration until);
  void SetInterval(Duration interval) { interval_ = interval; }
  /// Changes `note`, expecting version `seen`.
  void ChangeNote(uint32_t note, Revision seen);
  Revision LastSeen(uint32_t note) const;

  void SetAnswerLoss(double share) { client_.SetAnswerLoss(share); }

 private:
  /// A change, resent until it is answered or times out.
  struct Change {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
    uint64_t sequence = 0;
    std::string session;
    uint32_t sends = 0;
    Duration first_sent{0};
    /// Receives the response; null if the outcome is unknown.
    std::function<void(const CompleteAnswer*)> done;
  };

  void SendPut(Change change, size_t demand, std::function<void(Revision)> done);
  void OpenSession(std::function<void()> then);
  void Begin(Change change);
  void Send(Change change);
  void OnAnswer(Change change, const CompleteAnswer& answer);
  void NextNote();
  void ReadNote(uint32_t note);
  void PutNote(uint32_t note, Revision expected);
  void DeleteNote(uint32_t note, Revision expected);
  size_t Record(checks::ResourceAction action, uint32_t note, std::optional<Revision> expected,
                std::string value);
  void RecordEnd(size_t record, const CompleteAnswer* answer);
  void RecordAccepted(Revision revision);
  const std::string& DrawControl();

  RunContext& context_;
  const DeploymentPlan& plan_;
  std::string name_;
  RandomEngine random_;
  RequestClient client_;
  std::string session_;
  uint64_t next_sequence_ = 1;
  uint64_t next_value_ = 1;
  Duration interval_{0};
  Duration until_{0};
  uint32_t notes_ = 1;
  std::map<uint32_t, Revision> seen_;
};

}  // namespace millstair::simulator
