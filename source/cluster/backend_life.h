/// Names of the lives of back ends that register themselves. A server may start again under the
/// name that it had; it then knows nothing of before. So an InstanceId names a life: the server's
/// name and when it was born, and all that is kept by instance (counts, ejection, weights, orders,
/// texts) ends with the life. Older servers don't say when they were born; their name is new with
/// each start.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.h"

namespace millstair {

/// Name of a server across its lives, as it calls itself.
using ServerName = StrongId<struct ServerNameTag, std::string>;

/// When a life began by the server's own clock, in milliseconds since 1970; 0 if it doesn't say.
using BirthTime = StrongId<struct BirthTimeTag, uint64_t>;

/// "NAME@MILLISECONDS", or the name alone without a time of birth. No two pairs give one
/// identifier, also if names hold "@".
InstanceId LifeOf(const ServerName& server, BirthTime born);
ServerName ServerOf(const InstanceId& life);
BirthTime BirthOf(const InstanceId& life);

}  // namespace millstair
