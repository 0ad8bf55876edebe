#include "ctl/apply_plan.h"

#include <map>
#include <set>

#include "boost/json.hpp"
#include "fmt/format.h"

namespace millstair {
namespace {

namespace json = boost::json;
using FlatFields = std::map<std::string, std::string>;

void Flatten(const std::string& path, const json::value& value, FlatFields& fields) {
  if (!value.is_object()) {
    fields[path] = json::serialize(value);
    return;
  }
  for (const auto& member : value.get_object()) {
    const std::string key(member.key());
    Flatten(path.empty() ? key : path + "." + key, member.value(), fields);
  }
}

FlatFields FieldsOf(Resource resource) {
  resource.version = Revision(0);
  FlatFields fields;
  Flatten("", json::parse(ToJson(resource)), fields);
  return fields;
}

std::vector<std::string> Differences(const FlatFields& before, const FlatFields& after) {
  std::set<std::string> keys;
  for (const auto& [key, value] : before) keys.insert(key);
  for (const auto& [key, value] : after) keys.insert(key);
  const auto show = [](const FlatFields& fields, const std::string& key) {
    const auto found = fields.find(key);
    return found == fields.end() ? std::string("(none)") : found->second;
  };
  std::vector<std::string> lines;
  for (const std::string& key : keys) {
    const std::string old_value = show(before, key);
    const std::string new_value = show(after, key);
    if (old_value != new_value)
      lines.push_back(fmt::format("{}: {} -> {}", key, old_value, new_value));
  }
  return lines;
}

}  // namespace

std::string_view PlannedActionName(PlannedAction action) {
  switch (action) {
    case PlannedAction::kCreate:
      return "create";
    case PlannedAction::kChange:
      return "change";
    case PlannedAction::kUnchanged:
      break;
  }
  return "unchanged";
}

std::vector<PlannedChange> PlanApply(const std::vector<Resource>& desired,
                                     const std::vector<Resource>& stored) {
  std::map<ResourceKey, const Resource*> by_key;
  for (const Resource& resource : stored) by_key[resource.key()] = &resource;
  std::vector<PlannedChange> plan;
  for (const Resource& resource : desired) {
    PlannedChange change;
    change.desired = resource;
    const auto found = by_key.find(resource.key());
    const Resource* current = found == by_key.end() ? nullptr : found->second;
    change.expected = current == nullptr ? Revision(0) : current->version;
    if (resource.version.value() != 0) change.expected = resource.version;
    change.differences =
        Differences(current == nullptr ? FlatFields{} : FieldsOf(*current), FieldsOf(resource));
    if (current == nullptr) {
      change.action = PlannedAction::kCreate;
    } else if (!change.differences.empty()) {
      change.action = PlannedAction::kChange;
    }
    plan.push_back(std::move(change));
  }
  return plan;
}

std::vector<ApplyItem> ItemsOf(const std::vector<PlannedChange>& plan) {
  std::vector<ApplyItem> items;
  for (const PlannedChange& change : plan) {
    if (change.action == PlannedAction::kUnchanged) continue;
    Resource resource = change.desired;
    resource.version = Revision(0);
    items.push_back({std::move(resource), change.expected});
  }
  return items;
}

}  // namespace millstair
