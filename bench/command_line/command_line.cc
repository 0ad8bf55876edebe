#include "bench/command_line/command_line.h"

#include <fmt/core.h>

#include <iostream>

namespace millstair {

namespace po = boost::program_options;

std::optional<int> ParseArguments(const std::vector<std::string>& arguments,
                                  const po::options_description& description,
                                  po::variables_map& values) {
  try {
    po::store(po::command_line_parser(arguments).options(description).run(), values);
    if (values.count("help") != 0) {
      std::cout << description;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitBadArguments;
  }
  return std::nullopt;
}

}  // namespace millstair
