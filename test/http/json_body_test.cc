#include "http/json_body.h"

#include <catch2/catch.hpp>
#include <string>

namespace millstair {
namespace {

/// 3 MiB of the shortest values.
std::string ManyValues() {
  std::string text = "[";
  for (int number = 0; number < 1024 * 1024; ++number) text += "[],";
  return text + "[]]";
}

TEST_CASE("JSON of clients is parsed, and a text that is none is an error") {
  boost::system::error_code error;
  const boost::json::value value = ParseJsonBody(R"({"a":[1,"two"]})", error);
  CHECK_FALSE(error);
  CHECK(value.at("a").at(1).as_string() == "two");
  ParseJsonBody("{", error);
  CHECK(error);
}

TEST_CASE("A large text of JSON is parsed") {
  boost::system::error_code error;
  const std::string text = R"({"body":")" + std::string(32 * 1024 * 1024, 'b') + R"("})";
  const boost::json::value value = ParseJsonBody(text, error);
  CHECK_FALSE(error);
  CHECK(value.at("body").as_string().size() == 32 * 1024 * 1024);
}

// Guards against a process that ends because documents come on top of all else that it holds.
TEST_CASE("A document takes a third of the memory that is left") {
  const std::string text = R"({"body":")" + std::string(1024 * 1024, 'b') + R"("})";
  boost::system::error_code error;
  SetJsonMemory([] { return size_t{4 * 1024 * 1024}; });
  ParseJsonBody(text, error);
  CHECK_FALSE(error);
  SetJsonMemory([] { return size_t{3 * 1024 * 1024}; });
  ParseJsonBody(text, error);
  CHECK(error == boost::system::errc::not_enough_memory);
  SetJsonMemory({});
}

// Guards against documents that end a process by the memory of their values.
TEST_CASE("JSON whose values take many times its text is refused") {
  boost::system::error_code error;
  ParseJsonBody(ManyValues(), error);
  CHECK(error == boost::system::errc::value_too_large);
}

}  // namespace
}  // namespace millstair
