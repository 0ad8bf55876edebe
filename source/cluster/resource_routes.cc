#include "cluster/resource_routes.h"

#include <boost/json.hpp>
#include <utility>

#include "fmt/format.h"
#include "http/json_body.h"
#include "resources/resource_codec.h"

namespace millstair {
namespace {

absl::StatusOr<std::optional<Revision>> ExpectedOf(const boost::json::object& item) {
  const boost::json::value* expected = item.if_contains("expected");
  if (expected == nullptr || expected->is_null()) return std::nullopt;
  boost::json::error_code error;
  const auto version = expected->to_number<uint64_t>(error);
  if (error) return absl::InvalidArgumentError("expected is not a version");
  return Revision(version);
}

/// Reads {"items":[{"resource":{...},"expected":N|null}]}.
absl::StatusOr<PutResources> ParseApply(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value document = ParseJsonBody(body, error);
  const auto invalid = absl::InvalidArgumentError("the body is not {\"items\":[...]}");
  if (error || !document.is_object()) return invalid;
  const boost::json::value* items = document.as_object().if_contains("items");
  if (items == nullptr || !items->is_array()) return invalid;
  PutResources put;
  for (const boost::json::value& item : items->as_array()) {
    const auto* object = item.if_object();
    const auto* resource = object == nullptr ? nullptr : object->if_contains("resource");
    if (resource == nullptr) return absl::InvalidArgumentError("an item has no resource");
    auto parsed = ResourceFromJson(boost::json::serialize(*resource));
    if (!parsed.ok()) return parsed.status();
    auto expected = ExpectedOf(*object);
    if (!expected.ok()) return expected.status();
    put.items.push_back({*std::move(parsed), *expected});
  }
  return put;
}

}  // namespace

void ResourceRoutes::Handle(const HttpRequest& request, const std::vector<std::string>& path,
                            const SharedWriter& writer) {
  if (path.empty() && request.method == "GET") return List(std::nullopt, writer);
  if (path.empty() || path.size() > 2) {
    return RespondRefused(*writer, 404, "not found", "no such page");
  }
  const auto kind = ParseKind(path[0]);
  if (!kind.ok()) {
    return RespondRefused(*writer, 404, "not found", std::string(kind.status().message()));
  }
  if (path.size() == 1 && request.method == "GET") return List(*kind, writer);
  if (path.size() == 1) return RespondRefused(*writer, 405, "method not allowed", request.method);
  const ResourceKey key{*kind, path[1]};
  if (request.method == "GET") return Get(key, writer);
  if (request.method == "PUT") return Put(request, key, writer);
  if (request.method == "DELETE") return Delete(request, key, writer);
  RespondRefused(*writer, 405, "method not allowed", request.method);
}

void ResourceRoutes::List(std::optional<ResourceKind> kind, const SharedWriter& writer) {
  cluster_.ConfirmRead(alive_.Guard([this, kind, writer](const absl::Status& status) {
    if (!status.ok()) return RespondUnavailable(*writer, status, Outcome::kNotRun);
    boost::json::array resources;
    for (const auto& [key, resource] : cluster_.configuration().resources) {
      if (kind && key.kind != *kind) continue;
      resources.push_back(boost::json::parse(ToJson(resource)));
    }
    const boost::json::object body{{"revision", cluster_.configuration().revision.value()},
                                   {"resources", std::move(resources)}};
    RespondJson(*writer, boost::json::serialize(body));
  }));
}

void ResourceRoutes::Get(const ResourceKey& key, const SharedWriter& writer) {
  cluster_.ConfirmRead(alive_.Guard([this, key, writer](const absl::Status& status) {
    if (!status.ok()) return RespondUnavailable(*writer, status, Outcome::kNotRun);
    const auto& resources = cluster_.configuration().resources;
    const auto found = resources.find(key);
    if (found == resources.end()) {
      return RespondRefused(*writer, 404, "not found",
                            fmt::format("{}/{}", KindName(key.kind), key.name));
    }
    RespondJson(*writer, ToJson(found->second), found->second.version);
  }));
}

void ResourceRoutes::Put(const HttpRequest& request, const ResourceKey& key,
                         const SharedWriter& writer) {
  auto resource = ResourceFromJson(request.body.str());
  if (!resource.ok()) {
    return RespondRefused(*writer, 400, "bad resource", std::string(resource.status().message()));
  }
  if (resource->key() != key) {
    return RespondRefused(*writer, 400, "bad resource", "kind or name differ from the path");
  }
  const auto expected = ParseExpected(request.headers);
  if (!expected.ok()) {
    return RespondRefused(*writer, 400, "bad header", std::string(expected.status().message()));
  }
  Change(request, PutResources{{{*std::move(resource), *expected}}}, writer);
}

void ResourceRoutes::Delete(const HttpRequest& request, const ResourceKey& key,
                            const SharedWriter& writer) {
  const auto expected = ParseExpected(request.headers);
  if (!expected.ok()) {
    return RespondRefused(*writer, 400, "bad header", std::string(expected.status().message()));
  }
  Change(request, DeleteResource{key, *expected}, writer);
}

void ResourceRoutes::Apply(const HttpRequest& request, const SharedWriter& writer) {
  auto put = ParseApply(request.body.str());
  if (!put.ok()) {
    return RespondRefused(*writer, 400, "bad resources", std::string(put.status().message()));
  }
  Change(request, *std::move(put), writer);
}

void ResourceRoutes::Change(const HttpRequest& request, ClusterOperation operation,
                            const SharedWriter& writer) {
  auto session = ParseSessionStamp(request.headers);
  if (!session.ok()) {
    return RespondRefused(*writer, 400, "bad header", std::string(session.status().message()));
  }
  submitter_.Change(std::move(operation), *std::move(session),
                    [writer](const absl::StatusOr<ClusterResult>& result) {
                      if (result.ok()) return RespondResult(*writer, *result);
                      const bool not_sent = absl::IsFailedPrecondition(result.status());
                      RespondUnavailable(*writer, result.status(),
                                         not_sent ? Outcome::kNotRun : Outcome::kUnknown);
                    });
}

void ResourceRoutes::OpenSession(const SharedWriter& writer) {
  submitter_.OpenSession([writer](const absl::StatusOr<ClusterResult>& result) {
    if (!result.ok()) return RespondUnavailable(*writer, result.status(), Outcome::kUnknown);
    RespondJson(*writer, fmt::format("{{\"session\":\"{}\"}}", result->session));
  });
}

}  // namespace millstair
