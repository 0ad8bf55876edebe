#include "cluster/operators_api.h"

#include <algorithm>

#include "common/time.h"

namespace millstair {
namespace {

constexpr uint64_t kMaxWaitSeconds = 3600;

/// Whether `path` equals `parts` or, with `longer`, starts with them.
bool PathIs(const std::vector<std::string>& path, const std::vector<std::string>& parts,
            bool longer = false) {
  if (path.size() < parts.size() || (!longer && path.size() != parts.size())) return false;
  return std::equal(parts.begin(), parts.end(), path.begin());
}

std::optional<uint64_t> QueryNumber(const OperatorsTarget& target, const std::string& name) {
  const auto found = target.query.find(name);
  return found == target.query.end() ? 0 : ParseNumber(found->second);
}

}  // namespace

void OperatorsApi::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  const auto target = ParseTarget(request.target);
  if (!target.ok()) {
    return RespondRefused(*writer, 400, "bad target", std::string(target.status().message()));
  }
  const auto& path = target->path;
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (PathIs(path, {"v1", "resources"}, true)) {
    return resources_.Handle(request, {path.begin() + 2, path.end()}, writer);
  }
  if (post && PathIs(path, {"v1", "sessions"})) return resources_.OpenSession(writer);
  if (post && PathIs(path, {"v1", "apply"})) return resources_.Apply(request, writer);
  if (get && PathIs(path, {"v1", "status"})) return status_.Status(writer);
  if (get && PathIs(path, {"v1", "watch"})) return Watch(*target, writer);
  if (get && PathIs(path, {"v1", "revisions"}, true)) return Lagging(*target, writer);
  if (post && PathIs(path, {"v1", "replicas"})) return replicas_.Add(request, writer);
  if (HandleEvacuation(request, *target, writer)) return;
  if (get && PathIs(path, {"v1", "suspects"})) return suspects_.List(writer);
  if (request.method == "DELETE" && path.size() == 3 && PathIs(path, {"v1", "suspects"}, true)) {
    return suspects_.Clear(RequestFingerprint(path[2]), writer);
  }
  const bool one_replica = path.size() == 3 && PathIs(path, {"v1", "replicas"}, true);
  if (request.method == "DELETE" && one_replica) return replicas_.Remove(NodeId(path[2]), writer);
  RespondRefused(*writer, 404, "not found", "no such page");
}

bool OperatorsApi::HandleEvacuation(const HttpRequest& request, const OperatorsTarget& target,
                                    const SharedWriter& writer) {
  const auto& path = target.path;
  if (!PathIs(path, {"v1", "evacuations"}, true)) return false;
  const bool of_zone = path.size() == 3;
  if (request.method == "GET" && path.size() == 2) {
    evacuations_.List(writer);
  } else if (of_zone && (request.method == "PUT" || request.method == "DELETE")) {
    evacuations_.Change({Zone(path[2]), request.method == "DELETE"}, writer);
  } else {
    return false;
  }
  return true;
}

void OperatorsApi::Watch(const OperatorsTarget& target, const SharedWriter& writer) {
  const auto after = QueryNumber(target, "after");
  const auto wait = QueryNumber(target, "wait");
  if (!after || !wait || *wait > kMaxWaitSeconds) {
    return RespondRefused(*writer, 400, "bad query", "after=REVISION and wait=SECONDS are needed");
  }
  status_.Watch(Revision(*after), std::chrono::seconds(*wait), writer);
}

void OperatorsApi::Lagging(const OperatorsTarget& target, const SharedWriter& writer) {
  const auto& path = target.path;
  const auto revision = path.size() == 4 ? ParseNumber(path[2]) : std::nullopt;
  if (!revision || path[3] != "lagging") {
    return RespondRefused(*writer, 404, "not found", "no such page");
  }
  status_.Lagging(Revision(*revision), writer);
}

}  // namespace millstair
