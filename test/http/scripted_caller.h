/// An HttpCaller whose responses are provided by the test.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "http/exchange.h"

namespace millstair::testing {

/// Keeps the last call only.
class ScriptedCaller : public HttpCaller {
 public:
  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                    HttpCallObserver& call_observer) override {
    last_address = address;
    last_request = std::move(request);
    observer = &call_observer;
    return std::make_unique<Handle>(*this);
  }

  std::string last_address;
  HttpRequest last_request;
  HttpCallObserver* observer = nullptr;
  int dropped = 0;

 private:
  struct Handle : CallHandle {
    explicit Handle(ScriptedCaller& owner) : caller(owner) {}
    ~Handle() override { ++caller.dropped; }
    ScriptedCaller& caller;
  };
};

}  // namespace millstair::testing
