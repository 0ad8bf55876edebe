/// Reads responses of the completions API.
#pragma once

#include "simulator/checks/history.h"
#include "simulator/clients/request_client.h"

namespace millstair::simulator {

/// Fills tokens and spans of `call` from a complete response, streamed or not. Unreadable parts are
/// skipped; a stream without its end marker sets `kCut`.
void ReadCompletion(const CompleteAnswer& answer, checks::CallAttempt& call);

}  // namespace millstair::simulator
