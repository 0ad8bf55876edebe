/// What an engine process gets from outside: weights from the store, KV blocks from other engines.
#pragma once

#include <memory>
#include <string>

#include "emulator/model/engine_model.h"
#include "http/exchange.h"

namespace millstair {

/// Links over HTTP. Without a `store` address (ip:port) weights take their default time. `caller`
/// outlives the links and the engine model.
EngineModelLinks MakeHttpLinks(HttpCaller& caller, const std::string& store);

}  // namespace millstair
