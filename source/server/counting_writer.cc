#include "server/counting_writer.h"

#include "http/outcome.h"

namespace millstair {

void CountingWriter::SendHead(HttpResponseHead head) {
  stats_
      .NewCounter(
          {"millstair_answers_total", "Answers by status.", "status", std::to_string(head.status)})
      .Add();
  if (const auto outcome = FindHeader(head.headers, kOutcomeHeader)) {
    stats_
        .NewCounter({"millstair_outcomes_total", "Answers by their Millstair-Outcome.", "outcome",
                     std::string(*outcome)})
        .Add();
  }
  next_->SendHead(std::move(head));
}

void CountingWriter::Abort() {
  stats_.NewCounter({"millstair_answers_cut_total", "Answers cut before their end."}).Add();
  next_->Abort();
}

}  // namespace millstair
