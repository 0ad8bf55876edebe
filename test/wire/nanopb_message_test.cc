#include "wire/nanopb_message.h"

#include <catch2/catch.hpp>

#include "api/generated/hello.pb.h"

namespace millstair {
namespace {

TEST_CASE("a message survives encoding and decoding") {
  WireArena arena;
  millstair_Hello hello = millstair_Hello_init_zero;
  hello.protocol_version = 7;
  hello.node = arena.NewString("dar-msasani-1");
  const std::string bytes = EncodeNanopb(millstair_Hello_fields, &hello);
  auto decoded = DecodedMessage<millstair_Hello>::Decode(millstair_Hello_fields, bytes);
  REQUIRE(decoded.ok());
  REQUIRE((*decoded)->protocol_version == 7);
  REQUIRE(ToString((*decoded)->node) == "dar-msasani-1");
  REQUIRE(ToString((*decoded)->cluster_id).empty());
}

TEST_CASE("arena memory is zeroed") {
  for (size_t length = 0; length < 64; ++length) {
    {
      std::vector<char> dirty(length + 1, 'x');
      REQUIRE(dirty.back() == 'x');
    }
    WireArena arena;
    REQUIRE(ToString(arena.NewString(std::string(length, 'a'))) == std::string(length, 'a'));
  }
}

TEST_CASE("wire fields are visited in encoding order") {
  WireArena arena;
  millstair_Hello hello = millstair_Hello_init_zero;
  hello.protocol_version = 7;
  hello.node = arena.NewString("dar-msasani-1");
  const std::string bytes = EncodeNanopb(millstair_Hello_fields, &hello);
  std::string again;
  std::string node;
  const auto visit = [&](const WireField& field) {
    again += field.encoded;
    if (field.tag == millstair_Hello_node_tag) node = std::string(field.payload);
    return absl::OkStatus();
  };
  REQUIRE(ForEachWireField(bytes, visit).ok());
  REQUIRE(again == bytes);
  REQUIRE(node == "dar-msasani-1");
  for (size_t cut = 1; cut < bytes.size(); ++cut) {
    size_t seen = 0;
    const auto count = [&](const WireField& field) {
      seen += field.encoded.size();
      return absl::OkStatus();
    };
    const bool ok = ForEachWireField(bytes.substr(0, cut), count).ok();
    REQUIRE(ok == (seen == cut));
  }
  const auto fail = [](const WireField&) { return absl::AbortedError("enough"); };
  REQUIRE(absl::IsAborted(ForEachWireField(bytes, fail)));
}

TEST_CASE("a truncated message is refused") {
  WireArena arena;
  millstair_Hello hello = millstair_Hello_init_zero;
  hello.node = arena.NewString("dar-msasani-1");
  const std::string bytes = EncodeNanopb(millstair_Hello_fields, &hello);
  const std::string cut = bytes.substr(0, bytes.size() - 3);
  REQUIRE_FALSE(DecodedMessage<millstair_Hello>::Decode(millstair_Hello_fields, cut).ok());
}

TEST_CASE("arena memory is zeroed to its last byte, also in reused heap memory") {
  constexpr size_t kLength = 42;
  for (int round = 0; round < 50; ++round) {
    std::vector<std::unique_ptr<std::string>> garbage;
    for (int i = 0; i < 20; ++i) garbage.push_back(std::make_unique<std::string>(kLength, 'x'));
    garbage.clear();
    WireArena arena;
    const char* text = arena.NewString(std::string(kLength, 'y'));
    CHECK(std::strlen(text) == kLength);
  }
}

}  // namespace
}  // namespace millstair
