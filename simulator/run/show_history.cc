#include "simulator/run/show_history.h"

#include <array>
#include <optional>
#include <string>

#include "fmt/format.h"

namespace millstair::simulator {
namespace {

constexpr std::array kCallKinds{"completion", "page", "lookup", "booking"};
constexpr std::array kCallEnds{"complete", "refused", "cut", "unanswered", "abandoned"};
constexpr std::array kActions{"put", "delete", "read"};
constexpr std::array kEnds{"done", "conflict", "missing", "refused", "unanswered"};
constexpr size_t kShownBody = 200;

double Seconds(Duration time) { return ToSeconds(time); }

std::string FormatTime(const std::optional<Duration>& time) {
  return time ? fmt::format("{:.3f}", Seconds(*time)) : "never";
}

}  // namespace

void ShowHistory(const checks::History& history, std::ostream& out) {
  for (const checks::FaultWindow& fault : history.faults) {
    out << fmt::format("fault {:.3f} to {} {} {}{}\n", Seconds(fault.begin), FormatTime(fault.end),
                       fault.kind, fault.node.value(), fault.planned ? " planned" : "");
  }
  for (const checks::BackendLeaving& leaving : history.leaving) {
    out << fmt::format("leaving {:.3f} to {} {} source {}\n", Seconds(leaving.known),
                       FormatTime(leaving.until), leaving.backend.value(),
                       static_cast<int>(leaving.source));
  }
  for (const checks::CallAttempt& call : history.calls) {
    if (call.end == checks::CallEnd::kComplete) continue;
    out << fmt::format(
        "call {:.3f} to {} {} {} at {}: {} {} {}\n", Seconds(call.sent), FormatTime(call.ended),
        kCallKinds[static_cast<size_t>(call.kind)], call.attempt_id, call.gateway.value(),
        kCallEnds[static_cast<size_t>(call.end)], call.status, call.body.substr(0, kShownBody));
  }
  for (const checks::ResourceOperation& operation : history.resource_operations) {
    out << fmt::format(
        "resource {:.3f} to {} {} {} {} '{}' expected {}: {} version {} found '{}'\n",
        Seconds(operation.invoked), FormatTime(operation.returned), operation.client.value(),
        kActions[static_cast<size_t>(operation.action)], operation.resource, operation.value,
        operation.expected ? std::to_string(operation.expected->value()) : "any",
        kEnds[static_cast<size_t>(operation.end)], operation.version.value(),
        operation.found_value);
  }
  for (const checks::VersionPublish& publish : history.publishes) {
    out << fmt::format("publish {:.3f} to {} version {}\n", Seconds(publish.sent),
                       FormatTime(publish.acknowledged), publish.version.value());
  }
  for (const checks::StepPut& step : history.steps) {
    out << fmt::format("step {} {} put {:.3f} taken {} whole {}\n", step.stream.value(),
                       step.step.value(), Seconds(step.sent), FormatTime(step.acknowledged),
                       FormatTime(step.completed));
  }
  for (const checks::CursorRead& read : history.reads) {
    out << fmt::format("read {:.3f} to {:.3f} {} after {} next {} samples {}\n", Seconds(read.sent),
                       Seconds(read.answered), read.stream.value(), read.after.value(),
                       read.next.value(), read.samples.size());
  }
  for (const checks::Demand& demand : history.demands) {
    out << fmt::format("demand {:.3f} done {} {}\n", Seconds(demand.requested),
                       FormatTime(demand.done), demand.what);
  }
}

}  // namespace millstair::simulator
