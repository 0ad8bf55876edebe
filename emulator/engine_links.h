/// External dependencies of an engine process: weights from the store, KV blocks from other
/// engines.
#pragma once

#include <memory>
#include <string>

#include "emulator/model/engine_model.h"
#include "http/exchange.h"

namespace millstair {

/// Links over HTTP. Without a `store` address (ip:port), weight fetches take the default time.
/// `caller` must outlive the links and the engine model.
EngineModelLinks MakeHttpLinks(HttpCaller& caller, const std::string& store);

}  // namespace millstair
