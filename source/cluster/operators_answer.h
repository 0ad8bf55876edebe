/// Responses of the operators' HTTP API.
#pragma once

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "cluster/cluster_commands.h"
#include "http/exchange.h"
#include "http/outcome.h"

namespace millstair {

using SharedWriter = std::shared_ptr<ResponseWriter>;

/// 200 with a JSON body, and `ETag: "N"` unless `version` is 0.
void RespondJson(ResponseWriter& writer, std::string body, Revision version = Revision());
/// Rejects a faulty request; nothing was done.
void RespondRefused(ResponseWriter& writer, int status, const std::string& title,
                    const std::string& detail);
/// The control nodes cannot serve the request now. `outcome` tells whether a change may have been
/// made.
void RespondUnavailable(ResponseWriter& writer, const absl::Status& status, Outcome outcome);
/// Result of a change: 200 with {"revision"}, or a problem.
void RespondResult(ResponseWriter& writer, const ClusterResult& result);

}  // namespace millstair
