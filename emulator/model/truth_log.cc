#include "emulator/model/truth_log.h"

namespace millstair {
namespace {

bool Continues(const TruthSpan& last, const TruthSpan& next) {
  return last.mixed == next.mixed && last.span.version == next.span.version &&
         last.span.digest == next.span.digest &&
         last.span.engine_incarnation == next.span.engine_incarnation &&
         last.span.first_token + last.span.token_count == next.span.first_token;
}

}  // namespace

TruthRecord* TruthLog::FindMutable(const std::string& request_id) {
  const auto found = positions_.find(request_id);
  if (found == positions_.end()) return nullptr;
  return &records_[found->second - first_position_];
}

const TruthRecord* TruthLog::Find(const std::string& request_id) const {
  return const_cast<TruthLog*>(this)->FindMutable(request_id);
}

void TruthLog::RecordStart(const std::string& request_id, PromptSeed prompt, TimePoint now) {
  if (TruthRecord* known = FindMutable(request_id)) {
    ++known->executions;
    return;
  }
  while (records_.size() >= limit_ && !records_.empty() &&
         (records_.front().finished || records_.front().cancelled)) {
    positions_.erase(records_.front().request_id);
    records_.pop_front();
    ++first_position_;
  }
  positions_[request_id] = first_position_ + records_.size();
  records_.push_back(
      {.request_id = request_id, .prompt = prompt, .executions = 1, .accepted_at = now});
}

void TruthLog::RecordTokens(const std::string& request_id, const TruthSpan& span) {
  TruthRecord* record = FindMutable(request_id);
  if (record == nullptr || span.span.token_count == 0) return;
  if (!record->spans.empty() && Continues(record->spans.back(), span)) {
    record->spans.back().span.token_count += span.span.token_count;
    return;
  }
  record->spans.push_back(span);
}

void TruthLog::RecordFinish(const std::string& request_id) {
  if (TruthRecord* record = FindMutable(request_id)) record->finished = true;
}

void TruthLog::RecordCancel(const std::string& request_id) {
  if (TruthRecord* record = FindMutable(request_id)) record->cancelled = true;
}

}  // namespace millstair
