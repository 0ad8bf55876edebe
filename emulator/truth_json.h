/// JSON of the models' ground truth, for GET /truth.
#pragma once

#include <string>

#include "emulator/model/engine_model.h"
#include "emulator/model/platform_models.h"

namespace millstair {

/// {"incarnation","running","draining","counts":{...},"records":[...]}. A non-empty `request_id`
/// limits the records to that request; `counts_only` omits them.
std::string EngineTruthJson(const EngineModel& engine, const std::string& request_id,
                            bool counts_only);

/// {"executions":[{"method","path","key","count"}],"refused","arrived_while_draining"}.
std::string PlainTruthJson(const PlainServerModel& server);

/// {"fetches","refused","bytes_served","peak_waiting"}.
std::string StoreTruthJson(const WeightStoreModel& store);

}  // namespace millstair
