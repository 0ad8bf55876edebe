/// Flags of `millstair-emulator engine`.
#pragma once

#include <boost/program_options.hpp>
#include <string>

#include "emulator/model/engine_options.h"

namespace millstair {

struct EngineFlags {
  std::string listen;
  /// Address of the weight store; if empty, fetches take the default time.
  std::string store;
  Duration drain_timeout{0};
  EngineModelOptions model;
};

boost::program_options::options_description DescribeEngineFlags();

/// Converts parsed flags to options.
EngineFlags EngineFlagsFrom(const boost::program_options::variables_map& values);

}  // namespace millstair
