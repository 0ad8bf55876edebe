/// Reads the answers of the completions API as a caller gets them.
#pragma once

#include "simulator/checks/history.h"
#include "simulator/clients/request_client.h"

namespace millstair::simulator {

/// Fills tokens and spans of `call` from a whole answer, streamed or not. An answer of another form
/// leaves what could be read; a streamed one without its end mark becomes `kCut`.
void ReadCompletion(const CompleteAnswer& answer, checks::CallAttempt& call);

}  // namespace millstair::simulator
