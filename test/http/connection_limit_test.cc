#include "http/connection_limit.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace millstair {
namespace {

struct Connections {
  TimePoint now{};
  std::vector<std::string> closed;
  std::shared_ptr<ConnectionLimit> limit = std::make_shared<ConnectionLimit>(
      ConnectionLimitOptions{.limit = 3, .now = [this] { return now; }});

  std::unique_ptr<ConnectionLimit::Place> Open(const std::string& name) {
    now += std::chrono::seconds(1);
    return limit->Take([this, name] { closed.push_back(name); });
  }
};

using Names = std::vector<std::string>;

TEST_CASE("A new connection takes the place of the one that has waited for its client longest") {
  Connections connections;
  const auto first = connections.Open("first");
  const auto second = connections.Open("second");
  const auto third = connections.Open("third");
  first->Await(ConnectionWait::kRequest);
  const auto fourth = connections.Open("fourth");
  CHECK(fourth != nullptr);
  CHECK(connections.closed == Names{"second"});
  CHECK(connections.limit->taken() == 3);
}

// Guards against clients that open connections and end those of clients that use theirs.
TEST_CASE("Connections that were used lose their place after those without a whole request") {
  Connections connections;
  const auto used = connections.Open("used");
  used->Serve();
  used->Await(ConnectionWait::kNextRequest);
  std::vector<std::unique_ptr<ConnectionLimit::Place>> idle;
  for (int number = 0; number < 10; ++number) {
    idle.push_back(connections.Open(std::to_string(number)));
  }
  CHECK(connections.closed == Names{"0", "1", "2", "3", "4", "5", "6", "7"});
}

TEST_CASE("A connection that is being served keeps its place") {
  Connections connections;
  std::vector<std::unique_ptr<ConnectionLimit::Place>> served;
  for (int number = 0; number < 3; ++number) {
    served.push_back(connections.Open("served"));
    served.back()->Serve();
  }
  CHECK(connections.limit->exhausted());
  CHECK(connections.Open("new") == nullptr);
  CHECK(connections.closed.empty());
  served.back()->Await(ConnectionWait::kNextRequest);
  CHECK_FALSE(connections.limit->exhausted());
  served.pop_back();
  CHECK(connections.Open("new") != nullptr);
}

TEST_CASE("A client that does not read loses its place only once it is slow") {
  Connections connections;
  std::vector<std::unique_ptr<ConnectionLimit::Place>> reading;
  for (int number = 0; number < 3; ++number) {
    reading.push_back(connections.Open(std::to_string(number)));
    reading.back()->Await(ConnectionWait::kReader);
  }
  CHECK(connections.Open("new") == nullptr);
  reading.front()->Await(ConnectionWait::kReader);
  connections.now += std::chrono::seconds(5);
  CHECK(connections.Open("new") != nullptr);
  CHECK(connections.closed == Names{"1"});
}

TEST_CASE("A connection that has lost its place gets none back") {
  Connections connections;
  auto first = connections.Open("first");
  const auto second = connections.Open("second");
  const auto third = connections.Open("third");
  const auto fourth = connections.Open("fourth");
  first->Await(ConnectionWait::kRequest);
  const auto fifth = connections.Open("fifth");
  CHECK(connections.closed == Names{"first", "second"});
  first.reset();
  CHECK(connections.limit->taken() == 3);
}

}  // namespace
}  // namespace millstair
