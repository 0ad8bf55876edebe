#include "server/host_check.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "runtime/endpoint.h"
#include "server/temporary_folder.h"
#include "storage/posix_file_system.h"

namespace millstair {
namespace {

namespace fs = std::filesystem;

using testing::TemporaryFolder;

std::vector<ExitCode> CodesOf(const ServerSettings& settings) {
  std::vector<ExitCode> codes;
  for (const HostFinding& found : CheckHost(settings)) codes.push_back(found.code);
  return codes;
}

ServerSettings ValidSettings(const TemporaryFolder& folder) {
  ServerSettings settings;
  settings.peer_listen = "127.0.0.1:0";
  settings.http_listen = "127.0.0.1:0";
  settings.data_folder = folder / "data";
  return settings;
}

TEST_CASE("A suitable host has no findings, and no files are created") {
  const TemporaryFolder folder;
  CHECK(CheckHost(ValidSettings(folder)).empty());
  CHECK_FALSE(fs::exists(folder / "data"));
}

TEST_CASE("All addresses that are in use or not local are reported") {
  const TemporaryFolder folder;
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor taken(io, {boost::asio::ip::address_v4::loopback(), 0});
  ServerSettings settings = ValidSettings(folder);
  settings.peer_listen = FormatEndpoint(taken.local_endpoint());
  settings.http_listen = "203.0.113.1:80";
  const auto findings = CheckHost(settings);
  REQUIRE(findings.size() == 2);
  CHECK(findings[0].code == ExitCode::kAddressTaken);
  CHECK(findings[0].finding.message.find("\"peer.listen\"") == 0);
  CHECK(findings[1].code == ExitCode::kAddressTaken);
  CHECK(findings[1].finding.message.find("\"http.listen\"") == 0);
}

TEST_CASE("A data folder that is locked or not a folder is reported") {
  const TemporaryFolder folder;
  ServerSettings settings = ValidSettings(folder);
  {
    const auto other = PosixFileSystem::Open(settings.data_folder, {});
    REQUIRE(other.ok());
    CHECK(CodesOf(settings) == std::vector<ExitCode>{ExitCode::kFolderLocked});
  }
  CHECK(CodesOf(settings).empty());
  std::ofstream(folder / "file") << "x";
  settings.data_folder = folder / "file";
  CHECK(CodesOf(settings) == std::vector<ExitCode>{ExitCode::kFolderUnusable});
  settings.data_folder = folder / "file/below";
  CHECK(CodesOf(settings) == std::vector<ExitCode>{ExitCode::kFolderUnusable});
}

TEST_CASE("A read-only data folder is reported") {
  // Permission bits do not stop root, but nobody can create folders in /proc.
  const TemporaryFolder folder;
  ServerSettings settings = ValidSettings(folder);
  settings.data_folder = "/proc/millstair-data";
  if (::geteuid() != 0) {
    settings.data_folder = folder / "read-only";
    fs::create_directory(settings.data_folder);
    fs::permissions(settings.data_folder, fs::perms::owner_read | fs::perms::owner_exec);
  }
  CHECK(CodesOf(settings) == std::vector<ExitCode>{ExitCode::kFolderUnusable});
}

}  // namespace
}  // namespace millstair
