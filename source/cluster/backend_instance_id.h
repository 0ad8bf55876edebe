/// Ids of self-registered back ends. A server may restart under the same name without its earlier
/// state, so an InstanceId identifies one incarnation: the server's name and its start time.
/// Everything stored by instance (counts, ejection, weights, orders, texts) ends with the
/// incarnation. Older servers report no start time; their name is new at each start.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.h"

namespace millstair {

/// Name that a server reports for itself; the same for all its incarnations.
using ServerName = StrongId<struct ServerNameTag, std::string>;

/// Start time by the server's own clock, in milliseconds since 1970; 0 if not reported.
using StartTime = StrongId<struct StartTimeTag, uint64_t>;

/// "NAME@MILLISECONDS", or only the name without a start time. Distinct pairs give distinct ids,
/// also if names contain "@".
InstanceId MakeInstanceId(const ServerName& server, StartTime started_at);
ServerName ServerNameOf(const InstanceId& instance);
StartTime StartTimeOf(const InstanceId& instance);

}  // namespace millstair
