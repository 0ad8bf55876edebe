#include "simulator/checks/stream_checks.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "fmt/format.h"
#include "simulator/checks/token_text.h"

namespace millstair::checks {
namespace {

std::string Describe(const CursorRead& read, const ReceivedSample& sample) {
  return fmt::format("stream {} offset {} sample {} read after {} at {} ms", read.stream.value(),
                     sample.offset.value(), sample.sample.value(), read.after.value(),
                     read.sent.count() / 1000);
}

/// Samples delivered so far to the trainer of one stream.
class DeliveryLedger {
 public:
  explicit DeliveryLedger(std::set<SampleId> requested) : requested_(std::move(requested)) {}

  void HandleRead(const CursorRead& read, CheckResult& result) {
    acknowledged_ = std::max(acknowledged_, read.after);
    StreamOffset expected = Next(read.after);
    for (const ReceivedSample& sample : read.samples) {
      ++result.tried;
      if (sample.offset != expected) {
        result.Break(
            fmt::format("offset {} was expected: {}", expected.value(), Describe(read, sample)));
      }
      expected = Next(sample.offset);
      HandleSample(read, sample, result);
    }
    const StreamOffset last = read.samples.empty() ? read.after : read.samples.back().offset;
    if (read.next != last) {
      result.Break(fmt::format("stream {}: next offset is {}, but the last sample is at offset {}",
                               read.stream.value(), read.next.value(), last.value()));
    }
  }

 private:
  void HandleSample(const CursorRead& read, const ReceivedSample& sample, CheckResult& result) {
    if (!requested_.contains(sample.sample)) {
      result.Break("sample was not requested: " + Describe(read, sample));
    }
    const auto before = by_offset_.find(sample.offset);
    if (before != by_offset_.end()) CompareWithEarlier(before->second, read, sample, result);
    by_offset_[sample.offset] = sample;
    if (sample.withdrawn) {
      Withdraw(sample);
    } else {
      Deliver(read, sample, result);
    }
  }

  static void CompareWithEarlier(const ReceivedSample& before, const CursorRead& read,
                                 const ReceivedSample& now, CheckResult& result) {
    if (before.sample != now.sample) {
      result.Break(fmt::format("the offset held sample {} before: {}", before.sample.value(),
                               Describe(read, now)));
    } else if (before.withdrawn && !now.withdrawn) {
      result.Break("sample was withdrawn at this offset before: " + Describe(read, now));
    } else if (!now.withdrawn && !(before == now)) {
      result.Break("content differs from an earlier read: " + Describe(read, now));
    }
  }

  void Withdraw(const ReceivedSample& sample) {
    const auto held = offset_of_.find(sample.sample);
    if (held != offset_of_.end() && held->second == sample.offset) offset_of_.erase(held);
  }

  void Deliver(const CursorRead& read, const ReceivedSample& sample, CheckResult& result) {
    const auto [held, added] = offset_of_.emplace(sample.sample, sample.offset);
    if (added || held->second == sample.offset) return;
    const std::string_view state = held->second <= acknowledged_ ? "acknowledged" : "not withdrawn";
    result.Break(fmt::format("delivered before at offset {} ({}): {}", held->second.value(), state,
                             Describe(read, sample)));
  }

  std::set<SampleId> requested_;
  std::map<StreamOffset, ReceivedSample> by_offset_;
  std::map<SampleId, StreamOffset> offset_of_;
  StreamOffset acknowledged_;
};

std::vector<const CursorRead*> ReadsInOrder(const History& history) {
  std::vector<const CursorRead*> reads;
  for (const CursorRead& read : history.reads) reads.push_back(&read);
  std::stable_sort(reads.begin(), reads.end(),
                   [](const auto* a, const auto* b) { return a->answered < b->answered; });
  return reads;
}

const StreamTerms* FindTerms(const History& history, const StreamName& stream) {
  for (const StreamTerms& terms : history.streams) {
    if (terms.stream == stream) return &terms;
  }
  return nullptr;
}

WeightVersion NewestAcknowledged(const History& history, const ModelName& model, RunTime before) {
  WeightVersion newest;
  for (const VersionPublish& publish : history.publishes) {
    if (publish.model != model || !publish.acknowledged || *publish.acknowledged > before) continue;
    newest = std::max(newest, publish.version);
  }
  return newest;
}

WeightVersion OldestVersion(const ReceivedSample& sample) {
  WeightVersion oldest = sample.spans.empty() ? WeightVersion() : sample.spans.front().version;
  for (const ClaimedSpan& span : sample.spans) oldest = std::min(oldest, span.version);
  return oldest;
}

/// Index of the token ranges that engines generated.
class GeneratedIndex {
 public:
  explicit GeneratedIndex(const std::vector<GeneratedTokens>& generated) {
    for (const GeneratedTokens& tokens : generated) {
      ranges_[Key(tokens.incarnation, tokens.prompt, tokens.version, tokens.digest)].push_back(
          {tokens.first_token, tokens.first_token + tokens.token_count});
    }
    for (auto& [key, ranges] : ranges_) std::sort(ranges.begin(), ranges.end());
  }

  bool Covers(const std::string& prompt, const ClaimedSpan& span) const {
    const auto found =
        ranges_.find(Key(span.engine_incarnation, prompt, span.version, span.digest));
    if (found == ranges_.end()) return false;
    uint32_t covered = span.first_token;
    for (const auto& [first, end] : found->second) {
      if (first <= covered) covered = std::max(covered, end);
    }
    return covered >= span.first_token + span.token_count;
  }

 private:
  using KeyType = std::tuple<Incarnation, std::string, WeightVersion, WeightDigest>;
  static KeyType Key(Incarnation incarnation, const std::string& prompt, WeightVersion version,
                     const WeightDigest& digest) {
    return {incarnation, prompt, version, digest};
  }

  std::map<KeyType, std::vector<std::pair<uint32_t, uint32_t>>> ranges_;
};

using PromptIndex = std::map<std::pair<StreamName, SampleId>, const StepPut::Prompt*>;

PromptIndex IndexPrompts(const History& history) {
  PromptIndex index;
  for (const StepPut& step : history.steps) {
    for (const StepPut::Prompt& prompt : step.prompts) {
      index[{step.stream, prompt.sample}] = &prompt;
    }
  }
  return index;
}

}  // namespace

CheckResult CheckExactlyOnce(const History& history) {
  CheckResult result{.name = "exactly-once"};
  std::map<StreamName, std::set<SampleId>> requested;
  for (const StepPut& step : history.steps) {
    for (const StepPut::Prompt& prompt : step.prompts) requested[step.stream].insert(prompt.sample);
  }
  std::map<StreamName, DeliveryLedger> ledgers;
  for (const CursorRead* read : ReadsInOrder(history)) {
    const auto [ledger, added] = ledgers.try_emplace(read->stream, requested[read->stream]);
    ledger->second.HandleRead(*read, result);
  }
  return result;
}

CheckResult CheckStaleness(const History& history) {
  CheckResult result{.name = "staleness"};
  for (const CursorRead& read : history.reads) {
    const StreamTerms* terms = FindTerms(history, read.stream);
    if (terms == nullptr) continue;
    const WeightVersion newest = NewestAcknowledged(history, terms->model, read.sent);
    for (const ReceivedSample& sample : read.samples) {
      if (sample.withdrawn) continue;
      ++result.tried;
      const WeightVersion oldest = OldestVersion(sample);
      if (oldest.value() + terms->staleness_bound >= newest.value()) continue;
      result.Break(fmt::format("oldest version {} with {} published, bound {}: {}", oldest.value(),
                               newest.value(), terms->staleness_bound, Describe(read, sample)));
    }
  }
  return result;
}

CheckResult CheckClaimedVersions(const History& history) {
  CheckResult result{.name = "true-versions"};
  const GeneratedIndex generated(history.generated);
  const PromptIndex prompts = IndexPrompts(history);
  for (const CursorRead& read : history.reads) {
    for (const ReceivedSample& sample : read.samples) {
      if (sample.withdrawn) continue;
      const auto prompt = prompts.find({read.stream, sample.sample});
      if (prompt == prompts.end()) continue;
      ++result.tried;
      if (const auto fault = FindSpanFault(sample.spans, sample.token_count)) {
        result.Break(*fault + ": " + Describe(read, sample));
        continue;
      }
      for (const ClaimedSpan& span : sample.spans) {
        if (generated.Covers(prompt->second->text, span)) continue;
        result.Break(fmt::format(
            "tokens {}+{} were not generated by the reported engine with version {} ({}): {}",
            span.first_token, span.token_count, span.version.value(), span.digest.value(),
            Describe(read, sample)));
        break;
      }
    }
  }
  return result;
}

CheckResult CheckSampleText(const History& history, const TextOracle& oracle) {
  CheckResult result{.name = "own-sample-text"};
  const PromptIndex prompts = IndexPrompts(history);
  for (const CursorRead& read : history.reads) {
    for (const ReceivedSample& sample : read.samples) {
      if (sample.withdrawn) continue;
      const auto prompt = prompts.find({read.stream, sample.sample});
      if (prompt == prompts.end()) continue;
      ++result.tried;
      const auto difference =
          FindDifference(oracle, prompt->second->text, prompt->second->max_tokens,
                         SplitTokens(sample.text), sample.spans);
      if (difference) result.Break(*difference + ": " + Describe(read, sample));
    }
  }
  return result;
}

}  // namespace millstair::checks
