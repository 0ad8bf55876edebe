#include "resources/resource_references.h"

#include <functional>
#include <map>
#include <set>

#include "fmt/format.h"

namespace millstair {
namespace {

class ReferenceCheck {
 public:
  explicit ReferenceCheck(const std::vector<ParsedResource>& resources) : resources_(resources) {
    for (const ParsedResource& parsed : resources) known_.insert(parsed.resource.key());
  }

  Findings Run() {
    for (const ParsedResource& parsed : resources_) {
      std::visit([&](const auto& spec) { Check(parsed, spec); }, parsed.resource.spec);
    }
    return std::move(warnings_);
  }

 private:
  void Refer(const ParsedResource& from, ResourceKind kind, const std::string& name) {
    if (name.empty() || known_.contains(ResourceKey{kind, name})) return;
    Warn(from, fmt::format("refers to {} '{}', which is not in these files", KindName(kind), name));
  }

  void Warn(const ParsedResource& from, const std::string& message) {
    warnings_.Add(from.location, fmt::format("{} '{}' {}", KindName(from.resource.kind()),
                                             from.resource.name, message));
  }

  void Check(const ParsedResource&, const MachineSpec&) {}
  void Check(const ParsedResource&, const ModelSpec&) {}
  void Check(const ParsedResource& from, const EngineSpec& spec) {
    Refer(from, ResourceKind::kMachine, spec.machine);
  }
  void Check(const ParsedResource& from, const AdapterSpec& spec) {
    Refer(from, ResourceKind::kModel, spec.model.value());
  }
  void Check(const ParsedResource& from, const PoolSpec& spec) {
    Refer(from, ResourceKind::kModel, spec.model.value());
  }
  void Check(const ParsedResource& from, const StreamSpec& spec) {
    Refer(from, ResourceKind::kPool, spec.pool);
  }
  void Check(const ParsedResource& from, const TrafficGroupSpec& spec) {
    Refer(from, ResourceKind::kModel, spec.model.value());
  }
  void Check(const ParsedResource& from, const MatchSpec& spec) {
    CheckSelector(from, "workloads", spec.workloads, [](const Resource& resource) {
      return resource.kind() == ResourceKind::kPool ||
             resource.kind() == ResourceKind::kTrafficGroup;
    });
    CheckSelector(from, "models", spec.models,
                  [](const Resource& resource) { return resource.kind() == ResourceKind::kModel; });
    CheckSelector(from, "engines", spec.engines, [](const Resource& resource) {
      return resource.kind() == ResourceKind::kEngine;
    });
  }

  void CheckSelector(const ParsedResource& from, std::string_view side,
                     const std::optional<Selector>& selector,
                     const std::function<bool(const Resource&)>& eligible) {
    if (!selector) return;
    for (const ParsedResource& parsed : resources_) {
      if (eligible(parsed.resource) && Matches(*selector, LabelsOf(parsed.resource))) return;
    }
    Warn(from, fmt::format("matches no {} in these files", side));
  }

  /// An engine also has the labels of its machine; its own come first.
  Labels LabelsOf(const Resource& resource) const {
    Labels labels = resource.labels;
    const auto* engine = std::get_if<EngineSpec>(&resource.spec);
    if (engine == nullptr) return labels;
    for (const ParsedResource& parsed : resources_) {
      if (parsed.resource.key() == ResourceKey{ResourceKind::kMachine, engine->machine}) {
        labels.insert(parsed.resource.labels.begin(), parsed.resource.labels.end());
      }
    }
    return labels;
  }

  const std::vector<ParsedResource>& resources_;
  std::set<ResourceKey> known_;
  Findings warnings_;
};

}  // namespace

void CheckDuplicates(const std::vector<ParsedResource>& resources, Findings& findings) {
  std::map<ResourceKey, Location> first;
  for (const ParsedResource& parsed : resources) {
    const auto [entry, added] = first.try_emplace(parsed.resource.key(), parsed.location);
    if (added || entry->second.file == parsed.location.file) continue;
    findings.Add(parsed.location,
                 fmt::format("{} '{}' stands also at {}", KindName(parsed.resource.kind()),
                             parsed.resource.name, entry->second.ToString()));
  }
}

Findings DanglingReferences(const std::vector<ParsedResource>& resources) {
  return ReferenceCheck(resources).Run();
}

}  // namespace millstair
