#include <utility>

#include "boost/json.hpp"
#include "common/random.h"
#include "emulator/model/http_answers.h"
#include "emulator/model/platform_models.h"

namespace millstair {
namespace {

constexpr std::string_view kMachinesPath = "/machines";

std::string_view NameOf(MachineState state) {
  switch (state) {
    case MachineState::kLive:
      return "live";
    case MachineState::kLeaving:
      return "leaving";
    case MachineState::kGone:
      break;
  }
  return "gone";
}

}  // namespace

class MachineListModel::Impl {
 public:
  Impl(Environment& environment, MachineListOptions options)
      : environment_(environment), options_(options) {}

  void Add(const MachineEntry& machine) {
    machines_[machine.address] = {{environment_.Now(), machine.state}};
  }

  void SetState(const std::string& address, MachineState state) {
    RandomEngine& random = environment_.Random();
    if (DrawChance(random, options_.missing)) return;
    const Duration lag = DrawChance(random, options_.late) ? options_.late_lag : options_.lag;
    machines_[address].push_back({environment_.Now() + lag, state});
  }

  std::vector<MachineEntry> Listed() const {
    std::vector<MachineEntry> listed;
    const TimePoint now = environment_.Now();
    for (const auto& [address, changes] : machines_) {
      // The latest change that is visible wins, even if an earlier one becomes visible after it.
      for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
        if (change->shows_at > now) continue;
        listed.push_back({address, change->state});
        break;
      }
    }
    return listed;
  }

  std::string ListedJson() const {
    boost::json::array machines;
    for (const MachineEntry& machine : Listed()) {
      machines.push_back({{"address", machine.address}, {"state", NameOf(machine.state)}});
    }
    return boost::json::serialize(boost::json::object{{"machines", std::move(machines)}});
  }

 private:
  struct Change {
    TimePoint shows_at;
    MachineState state;
  };

  Environment& environment_;
  MachineListOptions options_;
  std::map<std::string, std::vector<Change>> machines_;
};

MachineListModel::MachineListModel(Environment& environment, MachineListOptions options)
    : impl_(std::make_shared<Impl>(environment, options)) {}
MachineListModel::~MachineListModel() = default;

void MachineListModel::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  const std::string_view path = PathOf(request.target);
  if (request.method != "GET" || path != kMachinesPath) return RespondNotFound(writer, path);
  RespondJson(writer, impl_->ListedJson());
}

void MachineListModel::Add(const MachineEntry& machine) { impl_->Add(machine); }

void MachineListModel::SetState(const std::string& address, MachineState state) {
  impl_->SetState(address, state);
}

std::vector<MachineEntry> MachineListModel::Listed() const { return impl_->Listed(); }

}  // namespace millstair
