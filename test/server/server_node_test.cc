#include "server/server_node.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <thread>

#include "consensus/group_host.h"
#include "http/loopback.h"
#include "runtime/endpoint.h"
#include "server/temporary_folder.h"

namespace millstair {
namespace {

using testing::RawClient;
using testing::TemporaryFolder;

/// A loopback address with a port that is currently free.
std::string FreeAddress() {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  return FormatEndpoint(acceptor.local_endpoint());
}

/// Complete response to a GET; empty if the connection fails.
std::string Get(const std::string& address, const std::string& target) {
  try {
    RawClient client(address);
    client.Send("GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    return client.ReadAll();
  } catch (const boost::system::system_error&) {
    return "";
  }
}

bool WaitUntil(const std::function<bool()>& condition) {
  for (int i = 0; i < 600; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

bool IsReady(const ServerNode& node) {
  return Get(node.http_address(), "/readyz").starts_with("HTTP/1.1 200");
}

/// Three control nodes and a gateway in one process, with real sockets and files.
struct TestCluster {
  TestCluster() {
    for (int i = 1; i <= 3; ++i) {
      const std::string name = "c" + std::to_string(i);
      control_nodes.push_back({name, FreeAddress(), "z" + std::to_string(i)});
    }
  }

  ServerSettings Settings(const std::string& name, const std::string& zone) const {
    ServerSettings settings;
    settings.node = name;
    settings.zone = zone;
    settings.cluster = "test";
    settings.control_nodes = control_nodes;
    for (const ControlNodeSetting& node : control_nodes) settings.founders.push_back(node.node);
    settings.peer_listen = "127.0.0.1:0";
    settings.http_listen = "127.0.0.1:0";
    settings.timing.stop_notice = stop_notice;
    return settings;
  }

  ServerSettings ControlSettings(size_t index) const {
    const ControlNodeSetting& self = control_nodes[index];
    ServerSettings settings = Settings(self.node, self.zone);
    settings.control = true;
    settings.peer_listen = self.address;
    settings.peer_address = self.address;
    settings.data_folder = folder / self.node;
    return settings;
  }

  void StartControl(size_t index) {
    const ServerSettings settings = ControlSettings(index);
    {
      const auto files = PosixFileSystem::Open(settings.data_folder, {});
      REQUIRE(files.ok());
      REQUIRE(InitializeInitialMember(**files, "test", NodeId(settings.node), settings.peer_address)
                  .ok());
    }
    nodes.push_back(std::make_unique<ServerNode>(runtime, stats[index], settings));
    REQUIRE(nodes.back()->Start().message.empty());
  }

  void StartGateway() {
    ServerSettings settings = Settings("g1", "z1");
    settings.gateway = true;
    settings.peer_listen = FreeAddress();
    settings.peer_address = settings.peer_listen;
    nodes.push_back(std::make_unique<ServerNode>(runtime, stats[3], settings));
    REQUIRE(nodes.back()->Start().message.empty());
  }

  static void StopInOrder(ServerNode& node) {
    std::promise<void> stopped;
    node.BeginStop([&stopped] { stopped.set_value(); });
    CHECK(stopped.get_future().wait_for(std::chrono::seconds(30)) == std::future_status::ready);
    node.Close();
  }

  Duration stop_notice = std::chrono::milliseconds(100);
  TemporaryFolder folder;
  std::vector<ControlNodeSetting> control_nodes;
  StatsRegistry stats[4];
  Runtime runtime{RuntimeOptions{.workers = 4}};
  std::vector<std::unique_ptr<ServerNode>> nodes;
};

TEST_CASE("Three control nodes and a gateway become ready and stop gracefully") {
  TestCluster cluster;
  for (size_t i = 0; i < 3; ++i) cluster.StartControl(i);
  cluster.StartGateway();
  for (const auto& node : cluster.nodes) CHECK(WaitUntil([&] { return IsReady(*node); }));

  const std::string control = cluster.nodes[0]->http_address();
  CHECK(WaitUntil([&] { return Get(control, "/v1/status").find("\"g1\"") != std::string::npos; }));
  // Copied: closing the node destroys its address.
  const std::string gateway = cluster.nodes[3]->http_address();
  CHECK(Get(gateway, "/metrics").find("millstair_lease_valid 1") != std::string::npos);
  CHECK(Get(control, "/metrics").find("millstair_raft_applied_index{group=\"cluster\"}") !=
        std::string::npos);

  // Stops the gateway first, then the control nodes one by one.
  TestCluster::StopInOrder(*cluster.nodes[3]);
  CHECK(Get(gateway, "/livez").empty());
  TestCluster::StopInOrder(*cluster.nodes[0]);
  for (size_t i = 1; i < 3; ++i) CHECK(WaitUntil([&] { return IsReady(*cluster.nodes[i]); }));
  TestCluster::StopInOrder(*cluster.nodes[1]);
  TestCluster::StopInOrder(*cluster.nodes[2]);
}

TEST_CASE("A stopping node reports not ready at once and accepts work during the stop notice") {
  TestCluster cluster;
  cluster.stop_notice = std::chrono::minutes(10);
  for (size_t i = 0; i < 3; ++i) cluster.StartControl(i);
  for (const auto& node : cluster.nodes) CHECK(WaitUntil([&] { return IsReady(*node); }));
  ServerNode& stopping = *cluster.nodes[0];
  std::atomic<bool> ended{false};
  stopping.BeginStop([&ended] { ended = true; });
  CHECK(WaitUntil([&] { return !IsReady(stopping); }));
  CHECK(Get(stopping.http_address(), "/v1/status").starts_with("HTTP/1.1 200"));
  CHECK_FALSE(ended);
  for (const auto& node : cluster.nodes) node->Close();
}

TEST_CASE("Each cause of a failed start has its own exit code") {
  TestCluster cluster;
  cluster.StartControl(0);
  const auto start = [&](const ServerSettings& settings) {
    StatsRegistry& stats = cluster.stats[1];
    ServerNode node(cluster.runtime, stats, settings);
    return node.Start().code;
  };
  ServerSettings settings = cluster.ControlSettings(0);
  CHECK(start(settings) == ExitCode::kFolderLocked);
  settings.data_folder = cluster.folder / "other";
  CHECK(start(settings) == ExitCode::kAddressTaken);
  settings.data_folder = "/proc/none";
  CHECK(start(settings) == ExitCode::kFolderUnusable);
  TestCluster::StopInOrder(*cluster.nodes[0]);
}

}  // namespace
}  // namespace millstair
