#include "settings/settings.h"

#include <algorithm>
#include <set>

#include "common/units.h"
#include "fmt/format.h"
#include "runtime/endpoint.h"
#include "settings/raw_settings.h"
#include "settings/settings_schema.h"

namespace millstair {
namespace {

bool IsName(const std::string& text) {
  constexpr size_t kMaxNameBytes = 128;
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

/// True for texts such as "8000/metrics".
bool IsPortAndPath(const std::string& text) {
  constexpr size_t kMaxPortDigits = 5;
  const size_t slash = text.find('/');
  if (slash == 0 || slash == std::string::npos || slash > kMaxPortDigits) return false;
  return std::all_of(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(slash),
                     [](unsigned char c) { return std::isdigit(c) != 0; });
}

/// Converts raw values to settings.
class SettingsConverter {
 public:
  SettingsConverter(const RawSettings& raw, const std::string& file, Findings& findings)
      : raw_(raw), file_(file), findings_(findings) {}

  ServerSettings Convert() {
    for (const SettingKey& key : SettingKeys()) {
      const auto found = raw_.find(std::string(key.key));
      if (found != raw_.end()) {
        SetValue(key, found->second);
      } else if (key.required && !(key.key == "control_nodes" && raw_.contains("seeds"))) {
        findings_.Add({file_, 0, 0}, fmt::format("the key \"{}\" is missing", key.key));
      }
    }
    if (settings_.peer_address.empty()) settings_.peer_address = settings_.peer_listen;
    if (settings_.http_operators == settings_.http_listen) settings_.http_operators.clear();
    if (settings_.control_nodes.empty()) UseSeeds();
    if (!raw_.contains("founders")) {
      for (const ControlNodeSetting& node : settings_.control_nodes) {
        settings_.founders.push_back(node.node);
      }
    }
    CheckConsistency();
    return settings_;
  }

 private:
  void SetValue(const SettingKey& key, const RawSetting& raw) {
    switch (key.kind) {
      case SettingKind::kName:
      case SettingKind::kAddress:
      case SettingKind::kPath:
      case SettingKind::kChoice:
      case SettingKind::kPortAndPath:
        return SetText(key, raw.text);
      case SettingKind::kDuration:
      case SettingKind::kSize:
      case SettingKind::kCount:
        return SetNumber(key, raw.text);
      case SettingKind::kNames:
        return key.key == "founders" ? SetFounders(raw) : SetDuties(raw);
      case SettingKind::kRoles:
        return SetRoles(raw);
      case SettingKind::kRoutes:
        return SetRoutes(raw);
      case SettingKind::kControlNodes:
        return SetControlNodes(raw);
      case SettingKind::kAddresses:
        return SetSeeds(raw);
    }
  }

  void SetText(const SettingKey& key, const RawText& raw) {
    if (key.kind == SettingKind::kName && !CheckName(raw)) return;
    if (key.kind == SettingKind::kAddress && !CheckAddress(raw)) return;
    if (key.kind == SettingKind::kPortAndPath && !IsPortAndPath(raw.text)) {
      return findings_.Add(raw.location,
                           fmt::format("\"{}\" is not of the form port/path", raw.text));
    }
    if (key.kind == SettingKind::kPath && raw.text.empty()) {
      return findings_.Add(raw.location, fmt::format("\"{}\" is empty", key.key));
    }
    if (key.kind == SettingKind::kChoice &&
        std::find(key.choices.begin(), key.choices.end(), raw.text) == key.choices.end()) {
      return findings_.Add(raw.location, fmt::format("\"{}\" is none of {}", raw.text,
                                                     fmt::join(key.choices, ", ")));
    }
    key.text(settings_) = raw.text;
  }

  bool CheckName(const RawText& raw) {
    if (IsName(raw.text)) return true;
    findings_.Add(raw.location,
                  fmt::format("\"{}\" is not a name: letters, digits, '-', '_' and '.'", raw.text));
    return false;
  }

  bool CheckAddress(const RawText& raw) {
    const auto endpoint = ParseEndpoint(raw.text);
    if (endpoint.ok()) return true;
    findings_.Add(raw.location, std::string(endpoint.status().message()));
    return false;
  }

  void SetNumber(const SettingKey& key, const RawText& raw) {
    uint64_t value = 0;
    absl::Status status;
    if (key.kind == SettingKind::kDuration) {
      const absl::StatusOr<Duration> duration = ParseDuration(raw.text);
      status = duration.status();
      if (status.ok()) value = static_cast<uint64_t>(duration->count());
    } else {
      const absl::StatusOr<uint64_t> number =
          key.kind == SettingKind::kSize ? ParseSize(raw.text) : ParseCount(raw.text);
      status = number.status();
      if (status.ok()) value = *number;
    }
    if (!status.ok()) return findings_.Add(raw.location, std::string(status.message()));
    if (value < key.min || value > key.max) {
      return findings_.Add(raw.location, fmt::format("{} is out of bounds for \"{}\": {}", raw.text,
                                                     key.key, BoundsText(key)));
    }
    if (key.kind == SettingKind::kDuration) {
      key.duration(settings_) = Duration(static_cast<Duration::rep>(value));
    } else {
      key.number(settings_) = value;
    }
  }

  void SetRoles(const RawSetting& raw) {
    for (const RawText& role : raw.list) {
      bool* flag = nullptr;
      if (role.text == "control") flag = &settings_.control;
      if (role.text == "gateway") flag = &settings_.gateway;
      if (role.text == "storage") flag = &settings_.storage;
      if (flag == nullptr) {
        findings_.Add(role.location,
                      fmt::format("\"{}\" is none of control, gateway, storage", role.text));
      } else if (*flag) {
        findings_.Add(role.location, fmt::format("the role \"{}\" is listed twice", role.text));
      } else {
        *flag = true;
      }
    }
    if (raw.list.empty()) findings_.Add(raw.location, "no role is listed");
  }

  void SetSeeds(const RawSetting& raw) {
    for (const RawText& seed : raw.list) {
      if (CheckAddress(seed)) settings_.seeds.push_back(seed.text);
    }
    if (raw.list.empty()) findings_.Add(raw.location, "no seed is listed");
  }

  /// Derives the control nodes from the seeds. Their peer listeners all have the same port.
  void UseSeeds() {
    const std::string own_port = settings_.peer_listen.substr(settings_.peer_listen.rfind(':') + 1);
    const std::string port =
        settings_.seeds_port == 0 ? own_port : std::to_string(settings_.seeds_port);
    for (const std::string& seed : settings_.seeds) {
      const std::string ip = seed.substr(0, seed.rfind(':'));
      settings_.control_nodes.push_back({ip, ip + ":" + port, ""});
    }
  }

  void SetFounders(const RawSetting& raw) {
    std::set<std::string> seen;
    for (const RawText& founder : raw.list) {
      if (!CheckName(founder)) continue;
      if (!seen.insert(founder.text).second) {
        findings_.Add(founder.location, fmt::format("\"{}\" is listed twice", founder.text));
        continue;
      }
      settings_.founders.push_back(founder.text);
    }
    if (raw.list.empty()) findings_.Add(raw.location, "no founder is listed");
  }

  /// An empty list is valid: the platform leaves no duty to this system. Unknown duties are
  /// ignored, since the platform may add any.
  void SetDuties(const RawSetting& raw) {
    settings_.scaling_duties.clear();
    for (const RawText& duty : raw.list) {
      if (IsName(duty.text)) settings_.scaling_duties.push_back(duty.text);
    }
  }

  void SetRoutes(const RawSetting& raw) {
    for (const RawText& route : raw.list) {
      const size_t equals = route.text.find('=');
      if (equals == std::string::npos) {
        findings_.Add(route.location,
                      fmt::format("\"{}\" is not of the form ip:port=ip:port", route.text));
        continue;
      }
      const RawText to{route.text.substr(0, equals), route.location};
      const RawText via{route.text.substr(equals + 1), route.location};
      const bool to_valid = CheckAddress(to);
      if (!CheckAddress(via) || !to_valid) continue;
      if (!settings_.routes.emplace(to.text, via.text).second) {
        findings_.Add(route.location, fmt::format("{} has two routes", to.text));
      }
    }
  }

  void SetControlNodes(const RawSetting& raw) {
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (const RawSetting::Node& node : raw.nodes) {
      if (!CheckNodeField(node, node.node, "node") ||
          !CheckNodeField(node, node.address, "address") ||
          !CheckNodeField(node, node.zone, "zone")) {
        continue;
      }
      const bool name_valid = CheckName(node.node);
      const bool address_valid = CheckAddress(node.address);
      if (!CheckName(node.zone) || !name_valid || !address_valid) continue;
      if (!names.insert(node.node.text).second) {
        findings_.Add(node.node.location, fmt::format("\"{}\" is listed twice", node.node.text));
      }
      if (!addresses.insert(node.address.text).second) {
        findings_.Add(node.address.location, fmt::format("{} is listed twice", node.address.text));
      }
      settings_.control_nodes.push_back({node.node.text, node.address.text, node.zone.text});
    }
    if (raw.nodes.empty()) findings_.Add(raw.location, "no control node is listed");
  }

  bool CheckNodeField(const RawSetting::Node& node, const RawText& field, std::string_view name) {
    if (!field.text.empty()) return true;
    // A malformed flag has been reported by ApplyOverrides.
    if (node.location.line != 0) {
      findings_.Add(node.location, fmt::format("the key \"control_nodes.{}\" is missing", name));
    }
    return false;
  }

  Location LocationOf(const std::string& key) const {
    const auto found = raw_.find(key);
    return found == raw_.end() ? Location{file_, 0, 0} : found->second.location;
  }

  void CheckConsistency() {
    CheckControlRole();
    CheckListeners();
    CheckFounders();
    CheckRoleCombination();
    CheckScaling();
    const TimingSettings& timing = settings_.timing;
    CheckOrder("timing.heartbeat", timing.heartbeat, "timing.source_timeout",
               timing.source_timeout);
    CheckOrder("timing.source_timeout", timing.source_timeout, "timing.lease", timing.lease);
    CheckOrder("timing.raft_heartbeat", 3 * timing.raft_heartbeat, "timing.election_timeout",
               timing.election_timeout, "three times ");
    if (timing.claim_retention % std::chrono::hours(1) != Duration(0)) {
      findings_.Add(LocationOf("timing.claim_retention"),
                    "\"timing.claim_retention\" has to be in whole hours");
    }
  }

  void CheckScaling() {
    if (settings_.overload_pool_scaling != "on") return;
    if (settings_.scaling_platform.empty()) {
      findings_.Add(LocationOf("overload.pool_scaling"),
                    "\"overload.pool_scaling\" needs the key \"scaling.platform\"");
    }
    if (!settings_.SharesSteps()) {
      findings_.Add(LocationOf("overload.pool_scaling"),
                    "\"overload.pool_scaling\" needs \"overload.step_sharing\" to be on");
    }
  }

  void CheckOrder(const std::string& small_key, Duration small, const std::string& large_key,
                  Duration large, std::string_view factor = "") {
    if (small < large) return;
    const std::string key = raw_.contains(small_key) ? small_key : large_key;
    findings_.Add(LocationOf(key),
                  fmt::format("{}\"{}\" ({}) has to be less than \"{}\" ({})", factor, small_key,
                              FormatDuration(small), large_key, FormatDuration(large)));
  }

  void CheckControlRole() {
    if (!settings_.control && !settings_.storage) return;
    if (settings_.data_folder.empty() && !raw_.contains("data")) {
      findings_.Add({file_, 0, 0}, fmt::format("a {} node needs the key \"data\"",
                                               settings_.control ? "control" : "storage"));
    }
    // With seeds, a node that joins later need not be listed.
    if (!settings_.control || !settings_.seeds.empty()) return;
    if (settings_.node.empty() || settings_.control_nodes.empty()) return;
    const auto self = std::find_if(
        settings_.control_nodes.begin(), settings_.control_nodes.end(),
        [this](const ControlNodeSetting& node) { return node.node == settings_.node; });
    if (self == settings_.control_nodes.end()) {
      findings_.Add(LocationOf("control_nodes"),
                    fmt::format("the control node \"{}\" is not listed itself", settings_.node));
    } else if (self->address != settings_.peer_address && !settings_.peer_address.empty()) {
      findings_.Add(LocationOf("control_nodes"),
                    fmt::format("\"{}\" is listed with {}, but its peer address is {}",
                                settings_.node, self->address, settings_.peer_address));
    }
  }

  void CheckRoleCombination() {
    if (settings_.control && settings_.storage) {
      findings_.Add(LocationOf("roles"), "one node can't have both roles control and storage");
    }
    const bool serves_platform = settings_.service_interface != "none";
    if (settings_.storage && !serves_platform) {
      findings_.Add(LocationOf("roles"), "the role storage needs a \"service.interface\"");
    }
    if (serves_platform && settings_.service_listen.empty() && !settings_.storage) {
      findings_.Add(LocationOf("service.interface"), "the key \"service.listen\" is missing");
    }
  }

  void CheckListeners() {
    const std::vector<std::pair<std::string, std::string>> listeners = {
        {"peer.listen", settings_.peer_listen},
        {"http.listen", settings_.http_listen},
        {"http.operators", settings_.http_operators},
        {"service.listen", settings_.service_listen},
        {"service.readiness", settings_.service_readiness}};
    std::set<std::string> seen;
    for (const auto& [key, address] : listeners) {
      if (address.empty() || address.ends_with(":0")) continue;
      if (seen.insert(address).second) continue;
      findings_.Add(LocationOf(key), fmt::format("{} is used by two listeners", address));
    }
    const auto endpoint = ParseEndpoint(settings_.peer_address);
    if (!endpoint.ok()) return;
    if (endpoint->address().is_unspecified()) {
      findings_.Add(
          LocationOf(raw_.contains("peer.address") ? "peer.address" : "peer.listen"),
          fmt::format("other nodes can't reach {}: set \"peer.address\"", settings_.peer_address));
    }
  }

  void CheckFounders() {
    if (!raw_.contains("founders")) return;
    for (const std::string& founder : settings_.founders) {
      const bool listed =
          std::any_of(settings_.control_nodes.begin(), settings_.control_nodes.end(),
                      [&founder](const ControlNodeSetting& node) { return node.node == founder; });
      if (listed) continue;
      findings_.Add(LocationOf("founders"),
                    fmt::format("the founder \"{}\" is not in \"control_nodes\"", founder));
    }
  }

  const RawSettings& raw_;
  const std::string& file_;
  Findings& findings_;
  ServerSettings settings_;
};

}  // namespace

ServerSettings ReadSettings(const std::string& file, const std::string& text,
                            const SettingOverrides& overrides, Findings& findings) {
  RawSettings raw;
  if (!text.empty()) raw = ReadRawSettings(file, text, findings);
  ApplyOverrides(overrides, raw, findings);
  return SettingsConverter(raw, file, findings).Convert();
}

}  // namespace millstair
