/// Single description of the fields of every resource kind: name, form and bounds. Visited by
/// readers, writers and the test of docs/CONFIGURATION.md.
///
/// A visitor has Text, Flag, Unsigned, Double, Bytes, Time, TextList, Choice and OptionalSelector.
#pragma once

#include <cstdint>
#include <limits>

#include "resources/resource.h"
#include "resources/yaml_fields.h"

namespace millstair {

/// What a text field may hold.
enum class TextForm {
  kName,               ///< name of a resource, zone or model
  kOptionalName,       ///< the same, or empty
  kIpNumber,           ///< an IP number
  kIpAndPort,          ///< "ip:port"
  kOptionalIpAndPort,  ///< the same, or empty
  kHostName,           ///< value of a Host header
  kPathPrefix,         ///< begins with '/'
  kFreeText,           ///< anything without control characters, not empty
};

inline constexpr uint64_t kMaxBytes = 1ULL << 50U;
inline constexpr uint32_t kMaxTokensLimit = 1'000'000;
inline constexpr uint32_t kMaxConcurrentLimit = 1'000'000;
inline constexpr double kMaxPoolShare = 1'000.0;
inline constexpr Duration kMaxDeadline = std::chrono::hours(24);

template <class Visitor>
void VisitFields(Visitor& visitor, MachineSpec& spec) {
  visitor.Text("zone", spec.zone, TextForm::kName, Presence::kRequired);
  visitor.Text("address", spec.address, TextForm::kIpNumber, Presence::kRequired);
  visitor.Flag("drain", spec.drain);
}

template <class Visitor>
void VisitFields(Visitor& visitor, EngineSpec& spec) {
  visitor.Choice("type", spec.type);
  visitor.Text("machine", spec.machine, TextForm::kName, Presence::kRequired);
  visitor.Text("address", spec.address, TextForm::kIpAndPort, Presence::kRequired);
  visitor.Flag("drain", spec.drain);
}

template <class Visitor>
void VisitFields(Visitor& visitor, ModelSpec& spec) {
  visitor.Text("weight_store", spec.weight_store, TextForm::kIpAndPort, Presence::kRequired);
  visitor.Bytes("store_bytes_per_second", spec.store_bytes_per_second, 0, kMaxBytes);
  visitor.Bytes("version_bytes", spec.version_bytes, 0, kMaxBytes);
  visitor.Double("live_capacity_floor", spec.live_capacity_floor, 0.0, 1.0);
}

template <class Visitor>
void VisitFields(Visitor& visitor, AdapterSpec& spec) {
  visitor.Text("model", spec.model, TextForm::kName, Presence::kRequired);
  visitor.Text("digest", spec.digest, TextForm::kName, Presence::kRequired);
  visitor.Text("location", spec.location, TextForm::kFreeText, Presence::kRequired);
}

template <class Visitor>
void VisitFields(Visitor& visitor, PoolSpec& spec) {
  visitor.Text("model", spec.model, TextForm::kName, Presence::kRequired);
  visitor.Double("share", spec.share, 0.001, kMaxPoolShare);
  visitor.Unsigned("max_in_flight", spec.max_in_flight, 1U, kMaxConcurrentLimit);
}

template <class Visitor>
void VisitFields(Visitor& visitor, StreamSpec& spec) {
  visitor.Text("pool", spec.pool, TextForm::kName, Presence::kRequired);
  visitor.Unsigned("staleness_bound", spec.staleness_bound, uint64_t{0}, uint64_t{1'000'000});
  visitor.Double("idle_time_weight", spec.idle_time_weight, 0.0, 1.0);
  visitor.Unsigned("max_tokens", spec.max_tokens, 1U, kMaxTokensLimit);
  visitor.Text("scorer", spec.scorer, TextForm::kOptionalIpAndPort, Presence::kOptional);
}

template <class Visitor>
void VisitFields(Visitor& visitor, TrafficGroupSpec& spec) {
  visitor.TextList("hosts", spec.hosts, TextForm::kHostName);
  visitor.Text("path_prefix", spec.path_prefix, TextForm::kPathPrefix, Presence::kOptional);
  visitor.Text("model", spec.model, TextForm::kOptionalName, Presence::kOptional);
  visitor.Flag("repeatable", spec.repeatable);
  visitor.Unsigned("priority", spec.priority, 1U, 3U);
  visitor.Unsigned("max_concurrent", spec.max_concurrent, 1U, kMaxConcurrentLimit);
  visitor.Unsigned("max_queued", spec.max_queued, 0U, kMaxConcurrentLimit);
  visitor.Time("deadline", spec.deadline, std::chrono::milliseconds(1), kMaxDeadline);
  visitor.Flag("serve_when_isolated", spec.serve_when_isolated);
  visitor.Time("hedge_after", spec.hedge_after, Duration{0}, kMaxDeadline);
}

template <class Visitor>
void VisitFields(Visitor& visitor, MatchSpec& spec) {
  visitor.OptionalSelector("workloads", spec.workloads);
  visitor.OptionalSelector("models", spec.models);
  visitor.OptionalSelector("engines", spec.engines);
}

}  // namespace millstair
