/// Numbered log events, made by fmt. One line of key=value pairs an event:
/// "time=2026-12-02T06:50:00.123Z level=info event=5301 name=ServerStarted node=a zone=b".
///
/// Writing never waits: lines beyond a budget a second, and lines that a full pipe would hold up,
/// are dropped and counted; the next line that is written says how many. Servers log to standard
/// output, tools to standard error.
#pragma once

#include <string>
#include <string_view>

#include "fmt/format.h"

namespace millstair {

enum class EventLevel { kDebug, kInfo, kWarning, kError };

/// Every event that the programs log; the number never changes meaning.
enum class EventId : int {
#define MILLSTAIR_EVENT(name, number, level, meaning) k##name = number,
#include "common/event_ids.inc"
#undef MILLSTAIR_EVENT
};

struct EventDescription {
  EventId id;
  std::string_view name;
  EventLevel level;
  std::string_view meaning;
};

/// Description of `id` from the catalogue.
const EventDescription& DescribeEvent(EventId id);

/// Events below `level` are dropped. Thread-safe. The default is kInfo.
void SetEventThreshold(EventLevel level);
/// Where lines go; standard error unless set.
void SetEventDescriptor(int descriptor);
/// Drops every event; the simulator runs thousands of nodes and logs nothing.
void DisableEventLog();
bool EventEnabled(EventId id);

/// Writes one finished line. Thread-safe.
void WriteEvent(EventId id, std::string_view text);

/// Logs `id` with a text made by fmt from `format` and `arguments` ("key=value" pairs by custom).
template <class... Arguments>
void LogEvent(EventId id, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
  if (!EventEnabled(id)) return;
  WriteEvent(id, fmt::format(format, std::forward<Arguments>(arguments)...));
}

}  // namespace millstair
