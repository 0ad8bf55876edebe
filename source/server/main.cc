/// Entry point of millstaird.
#include <string>
#include <vector>

#include "server/server_process.h"

int main(int argument_count, char** arguments) {
  const std::vector<std::string> list(arguments + 1, arguments + argument_count);
  return static_cast<int>(millstair::RunServer(list));
}
