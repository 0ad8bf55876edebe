/// Numbered log events, formatted by fmt. One line of key=value pairs per event:
/// "time=2026-12-02T06:50:00.123Z level=info event=5301 name=ServerStarted node=a zone=b".
///
/// Writing never blocks: lines above the rate limit, and lines that a full pipe or a slow disk
/// would delay, are dropped; their number is logged before the next line that is written. Lines to
/// a regular file are written in the background, and at the end of the process; a crash or a kill
/// loses those still queued. They take up to 2 MB: 1 MB in the queue, 1 MB being written. If no
/// thread can be started for this, they are written directly, and writing may wait for the disk.
/// Servers log to standard output, tools to standard error.
#pragma once

#include <string>
#include <string_view>

#include "fmt/format.h"

namespace millstair {

enum class EventLevel { kDebug, kInfo, kWarning, kError };

/// All events that the programs log. A number never changes its meaning.
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
/// Sets the file descriptor for lines; the default is standard error. Waits until the lines logged
/// before are written.
void SetEventDescriptor(int descriptor);
/// Drops all events; used by the simulator, which runs thousands of nodes.
void DisableEventLog();
bool EventEnabled(EventId id);

/// Writes one line with the formatted `text`. Thread-safe.
void WriteEvent(EventId id, std::string_view text);

/// Logs `id` with `arguments` formatted by fmt; by convention `format` consists of "key=value"
/// pairs.
template <class... Arguments>
void LogEvent(EventId id, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
  if (!EventEnabled(id)) return;
  WriteEvent(id, fmt::format(format, std::forward<Arguments>(arguments)...));
}

}  // namespace millstair
