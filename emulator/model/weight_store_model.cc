#include <algorithm>
#include <cmath>
#include <utility>

#include "boost/json.hpp"
#include "emulator/model/http_answers.h"
#include "emulator/model/platform_models.h"
#include "http/problem.h"

namespace millstair {
namespace {

constexpr std::string_view kWeightsPath = "/weights/";

}  // namespace

class WeightStoreModel::Impl : public std::enable_shared_from_this<WeightStoreModel::Impl> {
 public:
  using Done = std::function<void(absl::StatusOr<WeightDigest>)>;

  Impl(Environment& environment, WeightStoreOptions options)
      : environment_(environment),
        options_(options),
        level_(static_cast<double>(options.burst_bytes)),
        level_at_(environment.Now()) {}

  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer);
  void Fetch(const std::string& location, Done done);

  void Put(const std::string& location, const WeightDigest& digest, uint64_t bytes) {
    versions_[location] = {digest, bytes};
  }

  bool available_ = true;
  uint64_t fetches_ = 0;
  uint64_t refused_ = 0;
  uint64_t bytes_served_ = 0;
  uint32_t peak_waiting_ = 0;

 private:
  struct Version {
    WeightDigest digest;
    uint64_t bytes = 0;
  };

  Version Find(const std::string& location) const;
  /// Refills the bucket for the time since the last call.
  void Refill();
  /// Time until the bucket level is no longer negative.
  Duration TimeToClear() const;
  void HandleGet(const std::string& location, std::shared_ptr<ResponseWriter> writer);
  void HandlePut(const std::string& location, const std::string& body,
                 const std::shared_ptr<ResponseWriter>& writer);

  Environment& environment_;
  WeightStoreOptions options_;
  std::map<std::string, Version> versions_;
  /// Bytes in the bucket; a negative level is reserved for waiting reads.
  double level_;
  TimePoint level_at_;
  uint32_t waiting_ = 0;
};

WeightStoreModel::Impl::Version WeightStoreModel::Impl::Find(const std::string& location) const {
  const auto found = versions_.find(location);
  if (found != versions_.end()) return found->second;
  return {WeightDigest("sha-" + location), options_.version_bytes};
}

void WeightStoreModel::Impl::Refill() {
  const TimePoint now = environment_.Now();
  const double gained = ToSeconds(now - level_at_) * static_cast<double>(options_.bytes_per_second);
  level_ = std::min(level_ + gained, static_cast<double>(options_.burst_bytes));
  level_at_ = now;
}

Duration WeightStoreModel::Impl::TimeToClear() const {
  if (level_ >= 0) return Duration(0);
  const double seconds = -level_ / static_cast<double>(options_.bytes_per_second);
  return Duration(static_cast<Duration::rep>(std::ceil(seconds * 1e6)));
}

void WeightStoreModel::Impl::Fetch(const std::string& location, Done done) {
  Refill();
  if (available_ && waiting_ >= options_.max_waiting) {
    ++refused_;
    environment_.Schedule(Duration(0), [weak = weak_from_this(), done = std::move(done)] {
      if (!weak.expired()) done(absl::ResourceExhaustedError("too many readings wait"));
    });
    return;
  }
  const Version version = Find(location);
  if (available_) level_ -= static_cast<double>(version.bytes);
  const Duration wait = available_ ? TimeToClear() : Duration(0);
  const bool waits = wait > Duration(0);
  if (waits) peak_waiting_ = std::max(peak_waiting_, ++waiting_);
  environment_.Schedule(wait, [weak = weak_from_this(), version, waits, done = std::move(done)] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    if (waits) --self->waiting_;
    if (!self->available_) return done(absl::UnavailableError("the store is not available"));
    ++self->fetches_;
    self->bytes_served_ += version.bytes;
    done(version.digest);
  });
}

void WeightStoreModel::Impl::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  const std::string_view path = PathOf(request.target);
  if (!path.starts_with(kWeightsPath) || path.size() == kWeightsPath.size()) {
    return RespondNotFound(writer, path);
  }
  const std::string location(path.substr(kWeightsPath.size()));
  if (request.method == "GET") return HandleGet(location, std::move(writer));
  if (request.method == "PUT") return HandlePut(location, request.body.str(), writer);
  RespondNotRun(writer, 405, false, "GET or PUT");
}

void WeightStoreModel::Impl::HandleGet(const std::string& location,
                                       std::shared_ptr<ResponseWriter> writer) {
  const uint64_t bytes = Find(location).bytes;
  Fetch(location, [this, bytes, writer = std::move(writer)](absl::StatusOr<WeightDigest> digest) {
    if (digest.ok()) {
      HttpResponseHead head;
      head.headers.push_back({"Millstair-Weight-Digest", digest->value()});
      head.headers.push_back({"Millstair-Weight-Bytes", std::to_string(bytes)});
      return Respond(*writer, std::move(head), "");
    }
    const bool busy = absl::IsResourceExhausted(digest.status());
    Problem problem{.status = busy ? 429 : 503,
                    .title = busy ? "Too many readings" : "Not available",
                    .detail = std::string(digest.status().message()),
                    .outcome = Outcome::kNotRun};
    if (busy) problem.retry_after = TimeToClear();
    RespondProblem(*writer, problem);
  });
}

void WeightStoreModel::Impl::HandlePut(const std::string& location, const std::string& body,
                                       const std::shared_ptr<ResponseWriter>& writer) {
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(body, error);
  const boost::json::object* object = error ? nullptr : parsed.if_object();
  const boost::json::value* digest = object == nullptr ? nullptr : object->if_contains("digest");
  if (digest == nullptr || !digest->is_string()) {
    return RespondNotRun(writer, 400, false, R"(the body must be {"digest","bytes"})");
  }
  const boost::json::value* bytes = object->if_contains("bytes");
  const bool sized = bytes != nullptr && bytes->is_int64() && bytes->as_int64() >= 0;
  Put(location, WeightDigest(std::string(digest->as_string())),
      sized ? static_cast<uint64_t>(bytes->as_int64()) : options_.version_bytes);
  RespondJson(writer, "{}");
}

WeightStoreModel::WeightStoreModel(Environment& environment, WeightStoreOptions options)
    : impl_(std::make_shared<Impl>(environment, options)) {}
WeightStoreModel::~WeightStoreModel() = default;

void WeightStoreModel::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  impl_->Handle(std::move(request), std::move(writer));
}

void WeightStoreModel::Fetch(const std::string& location,
                             std::function<void(absl::StatusOr<WeightDigest>)> done) {
  impl_->Fetch(location, std::move(done));
}

void WeightStoreModel::Put(const std::string& location, const WeightDigest& digest,
                           uint64_t bytes) {
  impl_->Put(location, digest, bytes);
}

void WeightStoreModel::SetAvailable(bool available) { impl_->available_ = available; }
uint64_t WeightStoreModel::fetches() const { return impl_->fetches_; }
uint64_t WeightStoreModel::refused() const { return impl_->refused_; }
uint64_t WeightStoreModel::bytes_served() const { return impl_->bytes_served_; }
uint32_t WeightStoreModel::peak_waiting() const { return impl_->peak_waiting_; }

}  // namespace millstair
