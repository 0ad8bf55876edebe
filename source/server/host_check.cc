#include "server/host_check.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <filesystem>
#include <system_error>

#include "fmt/format.h"
#include "runtime/endpoint.h"
#include "storage/posix_file_system.h"

namespace millstair {
namespace {

namespace fs = std::filesystem;

void CheckAddress(const std::string& key, const std::string& address,
                  std::vector<HostFinding>& findings) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) return;  // reported by ReadSettings
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io);
  boost::system::error_code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error) acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(*endpoint, error);
  if (!error) acceptor.listen(1, error);
  if (!error) return;
  findings.push_back(
      {ExitCode::kAddressTaken,
       {{}, fmt::format("\"{}\": can't listen on {}: {}", key, address, error.message())}});
}

/// `path` itself, or its nearest ancestor that exists.
fs::path NearestExisting(fs::path path) {
  std::error_code ignored;
  path = fs::absolute(path, ignored);
  while (!fs::exists(path, ignored) && path.has_parent_path() && path != path.parent_path()) {
    path = path.parent_path();
  }
  return path;
}

/// Creates a temporary file, since permission bits are not conclusive for a superuser or on a
/// read-only file system.
bool CanCreateIn(const fs::path& folder) {
  std::string name = (folder / ".millstair-check-XXXXXX").string();
  const int descriptor = ::mkstemp(name.data());
  if (descriptor < 0) return false;
  ::close(descriptor);
  ::unlink(name.c_str());
  return true;
}

void CheckFolder(const std::string& folder, std::vector<HostFinding>& findings) {
  const auto add = [&](ExitCode code, const std::string& message) {
    findings.push_back({code, {{}, fmt::format("\"data\": {}", message)}});
  };
  std::error_code ignored;
  const fs::path existing = NearestExisting(folder);
  if (!fs::is_directory(existing, ignored)) {
    return add(ExitCode::kFolderUnusable, fmt::format("{} is not a folder", existing.string()));
  }
  if (!CanCreateIn(existing)) {
    return add(ExitCode::kFolderUnusable, fmt::format("{} is not writable", existing.string()));
  }
  if (!fs::exists(folder, ignored)) return;
  const auto files = PosixFileSystem::Open(folder, {});
  if (files.ok()) return;
  const bool locked = files.status().code() == absl::StatusCode::kFailedPrecondition;
  add(locked ? ExitCode::kFolderLocked : ExitCode::kFolderUnusable,
      std::string(files.status().message()));
}

}  // namespace

std::vector<HostFinding> CheckHost(const ServerSettings& settings) {
  std::vector<HostFinding> findings;
  CheckAddress("peer.listen", settings.peer_listen, findings);
  CheckAddress("http.listen", settings.http_listen, findings);
  if (!settings.http_operators.empty()) {
    CheckAddress("http.operators", settings.http_operators, findings);
  }
  if (!settings.data_folder.empty()) CheckFolder(settings.data_folder, findings);
  return findings;
}

}  // namespace millstair
