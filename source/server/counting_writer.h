/// Counts HTTP responses by status and by their Millstair-Outcome header.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "common/stats.h"
#include "http/exchange.h"

namespace millstair {

/// Decorates a ResponseWriter; all calls are forwarded to it.
class CountingWriter : public ResponseWriter {
 public:
  CountingWriter(std::shared_ptr<ResponseWriter> next, StatsRegistry& stats)
      : next_(std::move(next)), stats_(stats) {}

  void SendHead(HttpResponseHead head) override;
  void SendBody(std::string bytes) override { next_->SendBody(std::move(bytes)); }
  void Finish() override { next_->Finish(); }
  void Abort() override;
  size_t WritableBytes() const override { return next_->WritableBytes(); }
  bool HasRoomFor(size_t bytes) override { return next_->HasRoomFor(bytes); }
  void OnWritable(std::function<void()> callback) override {
    next_->OnWritable(std::move(callback));
  }
  void OnCallerDisconnected(std::function<void()> callback) override {
    next_->OnCallerDisconnected(std::move(callback));
  }

 private:
  std::shared_ptr<ResponseWriter> next_;
  StatsRegistry& stats_;
};

}  // namespace millstair
