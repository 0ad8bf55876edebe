#include "limits/admission.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Fixture {
 public:
  AdmissionResult Admit(const std::string& name, RequestPriority priority, Duration within) {
    return controller.Admit(priority, environment.Now() + within,
                            [this, name](const std::optional<AdmissionRefused>& refused) {
                              log.push_back(name + (refused ? " refused" : " admitted"));
                            });
  }
  void Run(Duration span) { scheduler.RunFor(span); }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 1};
  AdmissionController controller{environment, AdmissionLimits{1, 3}};
  std::vector<std::string> log;
};

TEST_CASE("the queue serves urgent requests first, then in order of arrival") {
  Fixture f;
  auto running = f.Admit("running", RequestPriority::kLive, seconds(10));
  REQUIRE(running.admission->admitted());
  auto first = f.Admit("first", RequestPriority::kLive, seconds(10));
  auto second = f.Admit("second", RequestPriority::kLive, seconds(10));
  auto urgent = f.Admit("urgent", RequestPriority::kUrgentLive, seconds(10));
  CHECK(f.Admit("fourth", RequestPriority::kLive, seconds(10)).refused->reason ==
        AdmissionRefusal::kQueueFull);
  running.admission.reset();
  f.Run(milliseconds(1));
  urgent.admission.reset();
  f.Run(milliseconds(1));
  first.admission.reset();
  f.Run(milliseconds(1));
  CHECK(f.log == std::vector<std::string>{"urgent admitted", "first admitted", "second admitted"});
}

TEST_CASE("a destroyed admission leaves the queue") {
  Fixture f;
  auto running = f.Admit("running", RequestPriority::kLive, seconds(10));
  auto dropped = f.Admit("dropped", RequestPriority::kLive, seconds(10));
  auto kept = f.Admit("kept", RequestPriority::kLive, seconds(10));
  dropped.admission.reset();
  running.admission.reset();
  f.Run(milliseconds(1));
  CHECK(f.log == std::vector<std::string>{"kept admitted"});
  CHECK(f.controller.running() == 1);
}

TEST_CASE("a request that can't meet its deadline is refused at once with a retry time") {
  Fixture f;
  {
    auto slow = f.Admit("slow", RequestPriority::kLive, seconds(10));
    f.Run(seconds(4));
  }
  auto running = f.Admit("running", RequestPriority::kLive, seconds(10));
  const auto hopeless = f.Admit("hopeless", RequestPriority::kLive, seconds(3));
  REQUIRE(hopeless.refused.has_value());
  CHECK(hopeless.refused->reason == AdmissionRefusal::kCannotMakeDeadline);
  CHECK(hopeless.refused->retry_after == seconds(4));
  CHECK(f.Admit("patient", RequestPriority::kLive, seconds(9)).admission != nullptr);
}

TEST_CASE("a queued request is refused when its deadline passes") {
  Fixture f;
  auto running = f.Admit("running", RequestPriority::kLive, seconds(10));
  auto queued = f.Admit("queued", RequestPriority::kLive, seconds(2));
  f.Run(milliseconds(1999));
  CHECK(f.log.empty());
  f.Run(milliseconds(2));
  CHECK(f.log == std::vector<std::string>{"queued refused"});
  CHECK(f.controller.queued() == 0);
}

TEST_CASE("raised limits admit queued requests") {
  Fixture f;
  auto running = f.Admit("running", RequestPriority::kLive, seconds(10));
  auto queued = f.Admit("queued", RequestPriority::kLive, seconds(10));
  f.controller.SetLimits({2, 3});
  f.Run(milliseconds(1));
  CHECK(queued.admission->admitted());
}

TEST_CASE("a callback may destroy other admissions, and the controller may be destroyed first") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment environment(scheduler, 1);
  auto controller = std::make_unique<AdmissionController>(environment, AdmissionLimits{2, 9});
  const TimePoint deadline = environment.Now() + seconds(10);
  const auto ignore = [](const std::optional<AdmissionRefused>&) {};
  auto one = controller->Admit(RequestPriority::kLive, deadline, ignore);
  auto two = controller->Admit(RequestPriority::kLive, deadline, ignore);
  int admitted = 0;
  AdmissionResult neighbour;
  auto third = controller->Admit(RequestPriority::kLive, deadline, [&](const auto&) {
    ++admitted;
    neighbour.admission.reset();
  });
  neighbour = controller->Admit(RequestPriority::kLive, deadline, [&](const auto&) { ++admitted; });
  one.admission.reset();
  two.admission.reset();
  scheduler.RunFor(milliseconds(1));
  CHECK(admitted == 1);
  CHECK(controller->running() == 1);
  controller.reset();
  third.admission.reset();
}

}  // namespace
}  // namespace millstair
