/// What the tests of single flows share: a service of scripted back ends, and a reader of streams.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "ingress/stream_flow.h"
#include "test/ingress/fake_backends.h"

namespace millstair {

class StreamRecorder : public StreamSink {
 public:
  void OnHead(const HttpResponseHead& answer) override {
    ++heads;
    head = answer;
  }
  void OnEvents(std::string bytes) override {
    text += bytes;
    if (on_events) on_events();
  }

  int heads = 0;
  HttpResponseHead head;
  std::string text;
  std::function<void()> on_events;
};

/// The context and the route of a flow to one service.
class FlowFixture {
 public:
  explicit FlowFixture(const std::string& service) : service_(service) {
    route.attempts = 3;
    route.services = {{ServiceName(service), 1}};
  }

  void Add(const std::string& address, FakeBackends::Script script) {
    configuration.instances[InstanceId(address)] = LiveInstance(address, service_);
    directory.Update(configuration);
    backends.Serve(address, std::move(script));
  }

  VirtualScheduler scheduler{7};
  VirtualEnvironment environment{scheduler, 11};
  FakeBackends backends{scheduler};
  FakeProtocol protocol;
  BackendDirectory directory{environment, Zone("z1")};
  RequestGuard guard{environment, backends, protocol, [](const ServiceName&) { return ""; },
                     nullptr};
  ForwardContext context{environment, backends, directory, protocol, guard};
  Configuration configuration;
  Route route;
  StreamRecorder sink;

 private:
  const std::string service_;
};

}  // namespace millstair
