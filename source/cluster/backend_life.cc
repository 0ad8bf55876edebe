#include "cluster/backend_life.h"

#include <charconv>
#include <string_view>

namespace millstair {
namespace {

constexpr char kBefore = '@';

}  // namespace

InstanceId LifeOf(const ServerName& server, BirthTime born) {
  const std::string& name = server.value();
  if (born != BirthTime()) return InstanceId(name + kBefore + std::to_string(born.value()));
  // What follows the last sign is the time; a name that holds one needs an empty time.
  if (name.find(kBefore) != std::string::npos) return InstanceId(name + kBefore);
  return InstanceId(name);
}

ServerName ServerOf(const InstanceId& life) {
  return ServerName(life.value().substr(0, life.value().rfind(kBefore)));
}

BirthTime BirthOf(const InstanceId& life) {
  const std::string& text = life.value();
  const size_t before = text.rfind(kBefore);
  if (before == std::string::npos) return BirthTime();
  uint64_t born = 0;
  std::from_chars(text.data() + before + 1, text.data() + text.size(), born);
  return BirthTime(born);
}

}  // namespace millstair
