/// Shared by the tests of streams: commands and samples of small, fixed shapes.
#pragma once

#include <string>
#include <vector>

#include "fmt/format.h"
#include "rollout/stream_commands.h"

namespace millstair {

inline WeightDigest DigestOfVersion(uint64_t version) {
  return WeightDigest(fmt::format("digest-{}", version));
}

inline PutStep MakeStep(const std::string& step, uint32_t samples) {
  PutStep command;
  command.step = StepId(step);
  for (uint32_t i = 0; i < samples; ++i) {
    command.prompts.push_back(
        {SampleId(fmt::format("{}/{}", step, i)), fmt::format("prompt {} {}", step, i), 16});
  }
  return command;
}

inline RecordPublishedVersion MakePublish(uint64_t version) {
  return {WeightVersion(version), DigestOfVersion(version)};
}

/// A sample of two tokens, each under its own version.
inline AppendSample MakeSample(const std::string& step, uint32_t index, uint64_t first_version,
                               uint64_t second_version, uint64_t epoch = 1) {
  Sample sample;
  sample.sample = SampleId(fmt::format("{}/{}", step, index));
  sample.step = StepId(step);
  sample.text = fmt::format("first{} second{}", epoch, epoch);
  sample.token_count = 2;
  sample.spans.push_back(
      {WeightVersion(first_version), DigestOfVersion(first_version), Incarnation(5), 0, 1});
  sample.spans.push_back(
      {WeightVersion(second_version), DigestOfVersion(second_version), Incarnation(5), 1, 1});
  sample.score = 0.5;
  sample.epoch = AttemptEpoch(epoch);
  return {sample};
}

}  // namespace millstair
