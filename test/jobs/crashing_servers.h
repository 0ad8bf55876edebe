/// Page servers in virtual time that crash whenever they run certain requests. A crash interrupts
/// all requests at the server; its address refuses connections for seconds until another
/// incarnation starts.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/virtual_environment.h"
#include "fmt/format.h"
#include "test/ingress/fake_backends.h"

namespace millstair {

/// A request that a server started to run.
struct ServedRun {
  Duration at{0};
  std::string target;
  InstanceId instance;
  std::string id;
};

/// A crash of a server while it ran `target`.
struct ServerCrash {
  Duration at{0};
  std::string target;
};

class CrashingServers : public HttpCaller {
 public:
  using Registered = std::function<void(const BackendInstance&)>;

  /// Requests with this target prefix crash the server that runs them.
  static constexpr char kCrashes[] = "/p/crash";
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(25);
  /// Time from a crash to the start of the next incarnation.
  static constexpr Duration kRestartTime = std::chrono::milliseconds(3000);

  /// `registered` is called for each incarnation of a server.
  CrashingServers(VirtualScheduler& scheduler, int count, Registered registered)
      : scheduler_(scheduler), registered_(std::move(registered)) {
    for (int i = 1; i <= count; ++i) Begin(fmt::format("server{}:80", i));
  }

  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer) override {
    const auto call = std::make_shared<Call>();
    call->request = std::move(request);
    call->observer = &observer;
    scheduler_.Schedule(DrawDuration(scheduler_.Random(), std::chrono::microseconds(500),
                                     std::chrono::microseconds(2000)),
                        [this, address, call] { Arrive(address, call); });
    return std::make_unique<Handle>(call);
  }

  /// Crashes the server at `address`, whatever it runs.
  void Crash(const std::string& address, const std::string& target) {
    Server& server = servers_.at(address);
    if (!server.alive) return;
    server.alive = false;
    crashes.push_back({scheduler_.Now(), target});
    for (const auto& call : std::exchange(server.running, {})) {
      if (call->observer != nullptr) Fail(*call, CallFailure::kUnknown, "end of stream");
    }
    scheduler_.Schedule(kRestartTime, [this, address] { Begin(address); });
  }

  std::vector<std::string> addresses() const {
    std::vector<std::string> all;
    for (const auto& [address, server] : servers_) all.push_back(address);
    return all;
  }

  std::vector<ServedRun> runs;
  std::vector<ServerCrash> crashes;

 private:
  struct Call {
    HttpRequest request;
    /// Null once the call is complete or cancelled.
    HttpCallObserver* observer = nullptr;
  };

  struct Server {
    bool alive = false;
    InstanceId instance;
    std::vector<std::shared_ptr<Call>> running;
  };

  class Handle : public CallHandle {
   public:
    explicit Handle(std::shared_ptr<Call> call) : call_(std::move(call)) {}
    ~Handle() override { call_->observer = nullptr; }

   private:
    std::shared_ptr<Call> call_;
  };

  void Begin(const std::string& address) {
    Server& server = servers_[address];
    server.alive = true;
    server.instance = InstanceId(fmt::format("{}#{}", address, ++incarnations_));
    BackendInstance record = LiveInstance(address, "pages");
    record.id = server.instance;
    record.slots = 6;
    registered_(record);
  }

  static void Fail(Call& call, CallFailure failure, const std::string& reason) {
    HttpCallObserver* const observer = std::exchange(call.observer, nullptr);
    observer->OnFailed(failure, reason);
  }

  static void Answer(Call& call, int status, HttpHeaders headers) {
    HttpCallObserver* const observer = std::exchange(call.observer, nullptr);
    observer->OnHead({status, std::move(headers)});
    observer->OnBody("whole");
    observer->OnFinished();
  }

  void Arrive(const std::string& address, const std::shared_ptr<Call>& call) {
    if (call->observer == nullptr) return;
    Server& server = servers_.at(address);
    if (!server.alive) return Fail(*call, CallFailure::kNotSent, "connection refused");
    const auto wanted = FindHeader(call->request.headers, "instance");
    if (wanted && *wanted != server.instance.value()) return Answer(*call, 421, {});
    if (call->request.target == "/healthz") {
      return Answer(*call, 200, {{"instance", server.instance.value()}});
    }
    runs.push_back({scheduler_.Now(), call->request.target, server.instance,
                    std::string(FindHeader(call->request.headers, "id").value_or(""))});
    server.running.push_back(call);
    Run(address, call);
  }

  void Run(const std::string& address, const std::shared_ptr<Call>& call) {
    const bool crashes_it = call->request.target.starts_with(kCrashes);
    const Duration takes =
        crashes_it ? DrawDuration(scheduler_.Random(), kAnswerTime, std::chrono::milliseconds(120))
                   : kAnswerTime;
    scheduler_.Schedule(
        takes, [this, address, call, crashes_it, instance = servers_.at(address).instance] {
          Server& server = servers_.at(address);
          if (!server.alive || server.instance != instance) return;
          if (crashes_it) return Crash(address, call->request.target);
          std::erase(server.running, call);
          if (call->observer != nullptr) Answer(*call, 200, {{"signature", "s"}});
        });
  }

  VirtualScheduler& scheduler_;
  const Registered registered_;
  int incarnations_ = 0;
  std::map<std::string, Server> servers_;
};

}  // namespace millstair
