#include "bench/demo/operators.h"

#include <algorithm>
#include <thread>

#include "ctl/control_api.h"
#include "fmt/format.h"

namespace millstair {
namespace {

using checks::ResourceAction;
using checks::ResourceEnd;
using checks::ResourceOperation;

constexpr Duration kOperationInterval = std::chrono::milliseconds(900);
constexpr const char* kContested = "contested";
constexpr const char* kLabel = "written-by";

ControlApiOptions ApiOptions(const FleetFile& fleet, size_t first) {
  ControlApiOptions options;
  for (const FleetNode& node : fleet.nodes) {
    if (!node.gateway) options.servers.push_back(node.address);
  }
  std::rotate(options.servers.begin(),
              options.servers.begin() + static_cast<std::ptrdiff_t>(first % options.servers.size()),
              options.servers.end());
  options.attempt_timeout = std::chrono::seconds(3);
  options.timeout = std::chrono::seconds(15);
  return options;
}

std::string ValueOf(const Resource& resource) {
  const auto found = resource.labels.find(kLabel);
  return found == resource.labels.end() ? "" : found->second;
}

class Operator {
 public:
  Operator(DemoRun& run, size_t number)
      : run_(run),
        name_(fmt::format("operator{}", number)),
        api_(run.caller(), ApiOptions(run.fleet(), number),
             [&run](Duration time) { run.Sleep(time); }) {}

  void Work() {
    Revision version;
    while (!run_.stopping()) {
      version = Read(version);
      Write(version);
      run_.Sleep(kOperationInterval);
    }
  }

 private:
  ResourceOperation Begin(ResourceAction action) const {
    ResourceOperation operation;
    operation.client = ClientId(name_);
    operation.resource = fmt::format("Match/{}", kContested);
    operation.action = action;
    operation.invoked = run_.clock().Now();
    return operation;
  }

  void End(ResourceOperation operation) {
    operation.returned = run_.clock().Now();
    if (operation.end == ResourceEnd::kUnanswered) operation.returned.reset();
    run_.Record([&](checks::History& history) {
      const bool changed =
          operation.end == ResourceEnd::kDone && operation.action == ResourceAction::kPut;
      if (changed) history.accepted.push_back({operation.version, *operation.returned});
      history.resource_operations.push_back(std::move(operation));
    });
  }

  /// The stored version; 0 if the resource is missing, `known` if the request failed otherwise.
  Revision Read(Revision known) {
    ResourceOperation operation = Begin(ResourceAction::kRead);
    const absl::StatusOr<Resource> resource = api_.Get({ResourceKind::kMatch, kContested});
    if (resource.ok()) {
      operation.end = ResourceEnd::kDone;
      operation.value = ValueOf(*resource);
      operation.version = resource->version;
      known = resource->version;
    } else if (absl::IsNotFound(resource.status())) {
      operation.end = ResourceEnd::kMissing;
      known = Revision(0);
    }
    End(std::move(operation));
    return known;
  }

  void Write(Revision expected) {
    ResourceOperation operation = Begin(ResourceAction::kPut);
    operation.expected = expected;
    operation.value = fmt::format("{}-{}", name_, ++writes_);
    Resource resource{kContested, {{kLabel, operation.value}}, MatchSpec{}, Revision(0)};
    const absl::StatusOr<ChangeResult> result = api_.Apply({{resource, expected}});
    if (result.ok() && result->conflicting.empty()) {
      operation.end = ResourceEnd::kDone;
      operation.version = result->revision;
    } else if (result.ok()) {
      operation.end = ResourceEnd::kConflict;
      operation.found_value = ValueOf(result->conflicting.front());
      operation.version = result->conflicting.front().version;
    } else if (absl::IsAborted(result.status())) {
      operation.end = ResourceEnd::kConflict;
    } else if (absl::IsFailedPrecondition(result.status())) {
      operation.end = ResourceEnd::kRefused;
    }
    End(std::move(operation));
  }

  DemoRun& run_;
  std::string name_;
  ControlApi api_;
  uint64_t writes_ = 0;
};

}  // namespace

void RunOperators(DemoRun& run) {
  std::vector<std::thread> threads;
  for (size_t number = 0; number < 2; ++number) {
    threads.emplace_back([&run, number] { Operator(run, number).Work(); });
  }
  for (std::thread& thread : threads) thread.join();
}

}  // namespace millstair
