/// JSON of what the models truly did, for GET /truth.
#pragma once

#include <string>

#include "emulator/model/engine_model.h"
#include "emulator/model/platform_models.h"

namespace millstair {

/// {"incarnation","running","draining","counts":{...},"records":[...]}. `request_id` limits the
/// records to that one; with `counts_only` there are none.
std::string EngineTruthJson(const EngineModel& engine, const std::string& request_id,
                            bool counts_only);

/// {"executions":[{"method","path","key","count"}],"refused","arrived_while_draining"}.
std::string PlainTruthJson(const PlainServerModel& server);

/// {"fetches","refused","bytes_served","peak_waiting"}.
std::string StoreTruthJson(const WeightStoreModel& store);

}  // namespace millstair
