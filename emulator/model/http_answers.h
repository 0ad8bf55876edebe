/// Responses shared by the models of HTTP servers.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "http/exchange.h"

namespace millstair {

/// Path of a request target, without the query.
std::string_view PathOf(std::string_view target);
/// Value of query parameter `name`; empty if absent. Not percent-decoded.
std::string_view QueryParameter(std::string_view target, std::string_view name);

/// 200 with a JSON body.
void RespondJson(const std::shared_ptr<ResponseWriter>& writer, std::string json);
/// Problem response for a request that was refused before it ran.
void RespondNotRun(const std::shared_ptr<ResponseWriter>& writer, int status, bool draining,
                   const std::string& detail);
/// 404 for a path that is not served.
void RespondNotFound(const std::shared_ptr<ResponseWriter>& writer, std::string_view target);

/// Sends head and body as the writer has capacity, then finishes.
void SendResponse(std::shared_ptr<ResponseWriter> writer, HttpResponseHead head, std::string body);

}  // namespace millstair
