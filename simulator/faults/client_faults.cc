/// Faults of clients: races, lost responses, restarts.
#include <algorithm>

#include "common/random.h"
#include "simulator/faults/fault_actions.h"

namespace millstair::simulator {

void RaceOperators(FaultContext& fault) {
  fault.Repeat(std::chrono::milliseconds(700), [&fault] {
    auto& operators = fault.world.operators();
    const auto note = static_cast<uint32_t>(DrawBelow(fault.random, kNotes));
    // Both operators change the same note at once, expecting the same version.
    const Revision seen = std::max(operators[0]->LastSeen(note), operators[1]->LastSeen(note));
    for (auto& one : operators) one->ChangeNote(note, seen);
  });
}

void LoseAnswers(FaultContext& fault) {
  constexpr double kLost = 0.3;
  World& world = fault.world;
  const auto set = [&world](double share) {
    for (auto& one : world.operators()) one->SetAnswerLoss(share);
    for (auto& trainer : world.trainers()) trainer->SetAnswerLoss(share);
  };
  set(kLost);
  fault.heal = [set] { set(0); };
}

void RestartTrainer(FaultContext& fault) {
  if (fault.world.trainers().empty()) return;
  Trainer& trainer = fault.Pick(fault.world.trainers());
  trainer.TakeDown();
  fault.heal = [&trainer] { trainer.BringUp(); };
}

}  // namespace millstair::simulator
