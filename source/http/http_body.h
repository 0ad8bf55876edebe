/// The body of a request. Copies share its bytes, so that an attempt, a hedge and a retry take no
/// memory of their own, and with them the count of its memory. Header-only.
#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace millstair {

/// Immutable; safe to use on several threads.
class HttpBody {
 public:
  HttpBody() = default;
  // Converts from and to a string implicitly: a body is given and read like the string it holds.
  HttpBody(std::string bytes)  // NOLINT(google-explicit-constructor)
      : HttpBody(std::move(bytes), nullptr) {}
  HttpBody(const char* text)  // NOLINT(google-explicit-constructor)
      : HttpBody(std::string(text)) {}
  /// `count` is destroyed with the last copy.
  HttpBody(std::string bytes, std::shared_ptr<const void> count)
      : shared_(std::make_shared<const Shared>(std::move(bytes), std::move(count))) {}

  /// Counts the memory of the body as long as a copy of it exists, also once the bytes are gone.
  std::shared_ptr<const void> count() const {
    return shared_ == nullptr ? nullptr : shared_->count;
  }

  const std::string& str() const {
    static const std::string kEmpty;
    return shared_ == nullptr ? kEmpty : shared_->bytes;
  }
  operator const std::string&() const { return str(); }  // NOLINT(google-explicit-constructor)
  size_t size() const { return str().size(); }
  bool empty() const { return str().empty(); }

  friend bool operator==(const HttpBody& body, std::string_view text) { return body.str() == text; }
  friend std::ostream& operator<<(std::ostream& out, const HttpBody& body) {
    return out << body.str();
  }

 private:
  struct Shared {
    Shared(std::string held, std::shared_ptr<const void> held_count)
        : bytes(std::move(held)), count(std::move(held_count)) {}
    std::string bytes;
    std::shared_ptr<const void> count;
  };

  std::shared_ptr<const Shared> shared_;
};

}  // namespace millstair
