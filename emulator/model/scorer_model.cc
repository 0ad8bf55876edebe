#include <utility>

#include "boost/json.hpp"
#include "common/random.h"
#include "emulator/model/http_answers.h"
#include "emulator/model/platform_models.h"
#include "xxhash.h"

namespace millstair {
namespace {

constexpr std::string_view kScorePath = "/score";

}  // namespace

double ScoreOf(const std::string& text) {
  constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53);
  return static_cast<double>(XXH3_64bits(text.data(), text.size()) >> 11) * kScale;
}

class ScorerModel::Impl : public std::enable_shared_from_this<ScorerModel::Impl> {
 public:
  Impl(Environment& environment, ScorerOptions options)
      : environment_(environment), options_(options) {}

  void Handle(const HttpRequest& request, std::shared_ptr<ResponseWriter> writer) {
    const std::string_view path = PathOf(request.target);
    if (request.method != "POST" || path != kScorePath) return RespondNotFound(writer, path);
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(request.body.str(), error);
    const boost::json::object* object = error ? nullptr : parsed.if_object();
    const boost::json::value* text = object == nullptr ? nullptr : object->if_contains("text");
    if (text == nullptr || !text->is_string()) {
      return RespondNotRun(writer, 400, false, R"(the body must be {"text"})");
    }
    if (DrawChance(environment_.Random(), options_.failure)) {
      return RespondNotRun(writer, 503, false, "the scorer is busy");
    }
    Score(std::string(text->as_string()), std::move(writer));
  }

  uint64_t scored() const { return scored_; }

 private:
  void Score(std::string text, std::shared_ptr<ResponseWriter> writer) {
    environment_.Schedule(options_.delay, [weak = weak_from_this(), text = std::move(text),
                                           writer = std::move(writer)] {
      const auto self = weak.lock();
      if (self == nullptr) return;
      ++self->scored_;
      RespondJson(writer, boost::json::serialize(boost::json::object{{"score", ScoreOf(text)}}));
    });
  }

  Environment& environment_;
  ScorerOptions options_;
  uint64_t scored_ = 0;
};

ScorerModel::ScorerModel(Environment& environment, ScorerOptions options)
    : impl_(std::make_shared<Impl>(environment, options)) {}
ScorerModel::~ScorerModel() = default;

void ScorerModel::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  impl_->Handle(request, std::move(writer));
}

uint64_t ScorerModel::scored() const { return impl_->scored(); }

}  // namespace millstair
