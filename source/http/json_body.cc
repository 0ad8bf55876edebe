#include "http/json_body.h"

#include <new>

#include "boost/json/memory_resource.hpp"
#include "boost/json/parser.hpp"
#include "boost/json/storage_ptr.hpp"

namespace millstair {
namespace {

/// Takes memory from the heap up to a limit.
class LimitedResource final : public boost::json::memory_resource {
 public:
  explicit LimitedResource(size_t limit) : limit_(limit) {}

 private:
  void* do_allocate(size_t bytes, size_t alignment) override {
    if (bytes > limit_ - used_) throw std::bad_alloc();
    void* memory = ::operator new(bytes, std::align_val_t(alignment));
    used_ += bytes;
    return memory;
  }
  void do_deallocate(void* memory, size_t bytes, size_t alignment) override {
    ::operator delete(memory, std::align_val_t(alignment));
    used_ -= bytes;
  }
  bool do_is_equal(const boost::json::memory_resource& other) const noexcept override {
    return this == &other;
  }

  const size_t limit_;
  size_t used_ = 0;
};

}  // namespace

boost::json::value ParseJsonBody(std::string_view text, boost::system::error_code& error) {
  // The parser keeps the values of unfinished lists in memory of its own, which counts as well.
  const auto memory =
      boost::json::make_shared_resource<LimitedResource>(text.size() + kMaxJsonOverhead);
  try {
    boost::json::parser parser(memory);
    parser.reset(memory);
    parser.write(text.data(), text.size(), error);
    return error ? boost::json::value(nullptr) : parser.release();
  } catch (const std::bad_alloc&) {
    error = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
    return nullptr;
  }
}

}  // namespace millstair
