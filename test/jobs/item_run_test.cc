#include "jobs/item_run.h"

#include <catch2/catch.hpp>
#include <optional>

#include "test/ingress/fake_backends.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using Kind = FakeAnswer::Kind;

class Fixture {
 public:
  Fixture() {
    Configuration configuration;
    configuration.instances[InstanceId("e:1")] = LiveInstance("e:1", "engines");
    directory.Update(configuration);
  }

  void Run(FakeAnswer answer, VersionRule rule = {}) {
    backends.Serve("e:1", [answer](const HttpRequest&) { return answer; });
    BackendRequest request;
    request.http = {"POST", "/p/1", {}, ""};
    request.request_id = "item";
    request.instance = InstanceId("e:1");
    if (progress.events > 0) request.resume_after = progress.events;
    run = std::make_unique<ItemRun>(
        environment, directory, protocol, progress, ItemRunOptions{milliseconds(500), rule},
        [this](ItemRunEnd result, const std::string&) { end = result; });
    run->Start(backends, LiveInstance("e:1", "engines"), request);
    scheduler.RunFor(milliseconds(2000));
  }

  VirtualScheduler scheduler{3};
  VirtualEnvironment environment{scheduler, 5};
  FakeBackends backends{scheduler};
  FakeProtocol protocol;
  BackendDirectory directory{environment, Zone("z1")};
  ItemProgress progress;
  std::unique_ptr<ItemRun> run;
  std::optional<ItemRunEnd> end;
};

FakeAnswer Stream(std::vector<std::string> pieces, Kind kind = Kind::kAnswer) {
  return {kind, 200, {{"version", "4"}}, std::move(pieces)};
}

TEST_CASE("Events split anywhere by the network give the same text") {
  Fixture fixture;
  fixture.Run(Stream({"1|", "|one\n", "\n2||two\r\n\r\n3|5|thr", "ee\n\n"}));
  CHECK(fixture.end == ItemRunEnd::kComplete);
  CHECK(fixture.progress.text == "one\ntwo\nthree");
  CHECK(fixture.progress.versions ==
        std::vector<WeightVersion>{WeightVersion(4), WeightVersion(5)});
}

TEST_CASE("A broken run is resumed after its last complete event") {
  Fixture fixture;
  fixture.Run(Stream({"1||one\n\n2||tw"}, Kind::kTruncatedBody));
  CHECK(fixture.end == ItemRunEnd::kBroken);
  CHECK(fixture.progress.text == "one");
  fixture.end.reset();
  fixture.Run(Stream({"2||two\n\n"}));
  CHECK(FindHeader(fixture.backends.calls[1]->request.headers, "resume") == "1");
  CHECK(fixture.end == ItemRunEnd::kComplete);
  CHECK(fixture.progress.text == "one\ntwo");
}

TEST_CASE("A stream that ends inside an event is not complete") {
  Fixture fixture;
  fixture.Run(Stream({"1||one\n\n2||tw"}));
  CHECK(fixture.end == ItemRunEnd::kBroken);
  CHECK(fixture.progress.text == "one");
}

// Guards against a storage node that ends because an event of an engine has no end.
TEST_CASE("A stream whose event never ends is given up") {
  constexpr size_t kPieces = 256;
  Fixture fixture;
  std::vector<std::string> pieces(kPieces, std::string(64 * 1024, 'x'));
  pieces.insert(pieces.begin(), "1||one\n\n");
  FakeAnswer answer = Stream(std::move(pieces));
  answer.gap = milliseconds(1);
  fixture.Run(answer);
  CHECK(fixture.end == ItemRunEnd::kBroken);
  CHECK(fixture.progress.text == "one");
  CHECK(fixture.backends.calls[0]->cancelled);
}

// Guards against a text of whole events that never ends and takes the memory of its node.
TEST_CASE("A stream whose events never end is given up") {
  Fixture fixture;
  std::vector<std::string> pieces;
  const std::string data(512 * 1024, 'x');
  for (int event = 1; event <= 20; ++event) {
    pieces.push_back(std::to_string(event) + "||" + data + "\n\n");
  }
  fixture.Run(Stream(pieces));
  CHECK(fixture.end == ItemRunEnd::kTooLong);
  CHECK(fixture.progress.text.size() < kMaxTextBytes);
}

TEST_CASE("A missing or duplicate event ends the run, and the text stays valid") {
  for (const char* second : {"3||three\n\n", "1||one\n\n"}) {
    Fixture fixture;
    fixture.Run(Stream({"1||one\n\n", second}));
    CHECK(fixture.end == ItemRunEnd::kBroken);
    CHECK(fixture.progress.text == "one");
  }
}

TEST_CASE("Text of weights that the job does not allow is rejected") {
  Fixture old;
  old.Run(Stream({"1||one\n\n"}), {WeightVersion(5), false});
  CHECK(old.end == ItemRunEnd::kWrongVersion);
  CHECK(old.progress.events == 0);
  Fixture changed;
  changed.Run(Stream({"1||one\n\n", "2|5|two\n\n"}), {WeightVersion(4), true});
  CHECK(changed.end == ItemRunEnd::kWrongVersion);
}

TEST_CASE("A stalled stream is aborted and its connection closed") {
  Fixture fixture;
  FakeAnswer answer = Stream({"1||one\n\n", "2||two\n\n"});
  answer.gap = milliseconds(900);
  fixture.Run(answer);
  CHECK(fixture.end == ItemRunEnd::kBroken);
  CHECK(fixture.progress.text == "one");
  CHECK(fixture.backends.calls[0]->cancelled);
}

TEST_CASE("The responses of an engine map to distinct ends of the run") {
  const auto end_of = [](FakeAnswer answer) {
    Fixture fixture;
    fixture.Run(std::move(answer));
    return fixture.end;
  };
  CHECK(end_of({Kind::kAnswer, 503, {{"refused", "1"}}, {}}) == ItemRunEnd::kRefused);
  CHECK(end_of({Kind::kAnswer, 421, {}, {}}) == ItemRunEnd::kWrongInstance);
  CHECK(end_of({Kind::kAnswer, 500, {}, {}}) == ItemRunEnd::kServerError);
  CHECK(end_of({Kind::kAnswer, 422, {}, {}}) == ItemRunEnd::kImpossible);
  CHECK(end_of({Kind::kAnswer, 503, {}, {}}) == ItemRunEnd::kBroken);
  CHECK(end_of({Kind::kUnreachable, 0, {}, {}}) == ItemRunEnd::kUnreachable);
  CHECK(end_of({Kind::kReset, 0, {}, {}}) == ItemRunEnd::kBroken);
  CHECK(end_of({Kind::kAnswer, 200, {{"stranger", "1"}}, {"1||x\n\n"}}) == ItemRunEnd::kBroken);
}

}  // namespace
}  // namespace millstair
