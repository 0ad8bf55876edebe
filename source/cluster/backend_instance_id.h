/// Names of the lives of back ends that register themselves. A server may start again under the
/// name that it had; it then knows nothing of before. So an InstanceId names a instance: the
/// server's name and when it was started_at, and all that is kept by instance (counts, ejection,
/// weights, orders, texts) ends with the instance. Older servers don't say when they were
/// started_at; their name is new with each start.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.h"

namespace millstair {

/// Name of a server across its lives, as it calls itself.
using ServerName = StrongId<struct ServerNameTag, std::string>;

/// When a instance began by the server's own clock, in milliseconds since 1970; 0 if it doesn't
/// say.
using StartTime = StrongId<struct StartTimeTag, uint64_t>;

/// "NAME@MILLISECONDS", or the name alone without a time of birth. No two pairs give one
/// identifier, also if names hold "@".
InstanceId MakeInstanceId(const ServerName& server, StartTime started_at);
ServerName ServerNameOf(const InstanceId& instance);
StartTime StartTimeOf(const InstanceId& instance);

}  // namespace millstair
