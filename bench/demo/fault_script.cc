#include "bench/demo/fault_script.h"

#include <cstdlib>
#include <sstream>

#include "bench/demo/truth_reader.h"
#include "boost/json.hpp"
#include "fmt/format.h"

namespace millstair {
namespace {

namespace json = boost::json;

constexpr Duration kHookTimeout = std::chrono::seconds(5);
constexpr int kEngineRestartDelayMs = 4000;
constexpr int kOk = 200;

}  // namespace

FaultScript::~FaultScript() {
  for (std::thread& watcher : watchers_) watcher.join();
}

bool FaultScript::Run(std::istream& input, std::string& failed_command) {
  std::string line;
  while (std::getline(input, line)) {
    std::istringstream words(line);
    std::string command;
    std::string argument;
    words >> command >> argument;
    if (command.empty()) continue;
    if (command == "finish") return true;
    fmt::print(stderr, "{:6.1f} s  {}\n", ToSeconds(run_.clock().Now()), line);
    if (!Execute(command, argument)) {
      failed_command = line;
      return false;
    }
  }
  return true;
}

bool FaultScript::Execute(const std::string& command, const std::string& argument) {
  if (command == "wait") {
    run_.Sleep(FromSeconds(std::strtod(argument.c_str(), nullptr)));
  } else if (command == "stopping") {
    BeginFault("planned-stop", argument, true);
  } else if (command == "killing") {
    BeginFault("kill", argument, false);
  } else if (command == "stopped" || command == "killed") {
    // The fault window stays open until the node is ready again; later observations belong to its
    // next incarnation.
    run_.BeginNextIncarnation(argument);
  } else if (command == "started") {
    EndFault(argument);
  } else if (command == "cut") {
    BeginFault("zone-cut", argument, false);
    return CutZone(argument, "cut");
  } else if (command == "heal") {
    const bool healed = CutZone(argument, "heal");
    EndFault(argument);
    return healed;
  } else if (command == "crash") {
    return CrashEngine(argument);
  } else if (command == "draining") {
    return WatchDraining(argument);
  } else {
    return false;
  }
  return true;
}

void FaultScript::BeginFault(const std::string& kind, const std::string& node, bool planned) {
  run_.Record([&](checks::History& history) {
    history.faults.push_back({kind, planned, NodeId(node), run_.clock().Now(), std::nullopt});
  });
}

void FaultScript::EndFault(const std::string& node) {
  run_.Record([&](checks::History& history) {
    for (checks::FaultWindow& fault : history.faults) {
      if (fault.node.value() == node && !fault.end) fault.end = run_.clock().Now();
    }
    history.healed = run_.clock().Now();
  });
}

bool FaultScript::CutZone(const std::string& zone, const std::string& kind) {
  std::vector<std::string> names = {zone + "/*"};
  for (const std::string& other : run_.fleet().zones) {
    if (other != zone) names.push_back(other + "/" + zone + "/*");
  }
  bool done = true;
  for (const std::string& name : names) {
    const std::string body = json::serialize(json::object{{"kind", kind}, {"name", name}});
    const BlockingReply reply =
        CallJson(run_, run_.fleet().link_control, "POST", "/fault", body, kHookTimeout);
    done = done && reply.complete() && reply.status == kOk;
  }
  return done;
}

const FleetBackend* FaultScript::FindEngine(const std::string& name) const {
  for (const FleetBackend& engine : run_.fleet().engines) {
    if (engine.name == name) return &engine;
  }
  return nullptr;
}

bool FaultScript::CrashEngine(const std::string& name) {
  const FleetBackend* engine = FindEngine(name);
  if (engine == nullptr) return false;
  BeginFault("engine-crash", name, false);
  const std::string body =
      json::serialize(json::object{{"kind", "crash"}, {"restart_after_ms", kEngineRestartDelayMs}});
  const BlockingReply reply = CallJson(run_, engine->address, "POST", "/fault", body, kHookTimeout);
  watchers_.emplace_back([this, name] {
    run_.Sleep(std::chrono::milliseconds(kEngineRestartDelayMs));
    EndFault(name);
  });
  return reply.complete() && reply.status == kOk;
}

bool FaultScript::WatchDraining(const std::string& name) {
  const FleetBackend* engine = FindEngine(name);
  if (engine == nullptr) return false;
  run_.Record([&](checks::History& history) {
    history.leaving.push_back(
        {EngineName(name), checks::LeavingSource::kOperator, run_.clock().Now(), std::nullopt});
  });
  watchers_.emplace_back([this, engine] { WatchLeavingEngine(run_, *engine); });
  return true;
}

}  // namespace millstair
