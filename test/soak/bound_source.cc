/// Preloaded library for the soak: connections of a process to 127.0.0.1 come from the address that
/// MILLSTAIR_SOURCE names, so that back ends can tell the machines of the system apart.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>

namespace {

/// The address of this machine; 0 if none is set.
in_addr_t SourceAddress() {
  const char* const text = std::getenv("MILLSTAIR_SOURCE");
  in_addr address{};
  return text != nullptr && inet_pton(AF_INET, text, &address) == 1 ? address.s_addr : 0;
}

bool IsLoopback(const sockaddr* address) {
  return address->sa_family == AF_INET &&
         reinterpret_cast<const sockaddr_in*>(address)->sin_addr.s_addr == htonl(INADDR_LOOPBACK);
}

/// A failure is ignored: the connection then comes from 127.0.0.1.
void BindTo(int socket, in_addr_t address) {
  const int error_before = errno;
  const int yes = 1;
  setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &yes, sizeof(yes));
  sockaddr_in source{};
  source.sin_family = AF_INET;
  source.sin_addr.s_addr = address;
  bind(socket, reinterpret_cast<const sockaddr*>(&source), sizeof(source));
  errno = error_before;
}

}  // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto connect_to = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  static const in_addr_t source = SourceAddress();
  if (source != 0 && IsLoopback(address)) BindTo(socket, source);
  return connect_to(socket, address, size);
}
