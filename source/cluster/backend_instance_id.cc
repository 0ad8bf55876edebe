#include "cluster/backend_instance_id.h"

#include <charconv>
#include <string_view>

namespace millstair {
namespace {

constexpr char kSeparator = '@';

}  // namespace

InstanceId MakeInstanceId(const ServerName& server, StartTime started_at) {
  const std::string& name = server.value();
  if (started_at != StartTime())
    return InstanceId(name + kSeparator + std::to_string(started_at.value()));
  // The start time follows the last separator, so a name that contains one needs an empty start
  // time.
  if (name.find(kSeparator) != std::string::npos) return InstanceId(name + kSeparator);
  return InstanceId(name);
}

ServerName ServerNameOf(const InstanceId& instance) {
  return ServerName(instance.value().substr(0, instance.value().rfind(kSeparator)));
}

StartTime StartTimeOf(const InstanceId& instance) {
  const std::string& text = instance.value();
  const size_t before = text.rfind(kSeparator);
  if (before == std::string::npos) return StartTime();
  uint64_t started_at = 0;
  std::from_chars(text.data() + before + 1, text.data() + text.size(), started_at);
  return StartTime(started_at);
}

}  // namespace millstair
