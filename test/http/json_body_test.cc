#include "http/json_body.h"

#include <catch2/catch.hpp>
#include <string>

namespace millstair {
namespace {

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

// Guards against documents that end a process by the memory of their values.
TEST_CASE("JSON whose values take many times its text is refused") {
  std::string text = "[";
  for (int number = 0; number < 1024 * 1024; ++number) text += "[],";
  text += "[]]";
  boost::system::error_code error;
  ParseJsonBody(text, error);
  CHECK(error == boost::system::errc::not_enough_memory);
}

}  // namespace
}  // namespace millstair
