#include "http/json_body.h"

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <new>
#include <utility>

#include "boost/json/memory_resource.hpp"
#include "boost/json/parser.hpp"
#include "boost/json/storage_ptr.hpp"

namespace millstair {
namespace {

/// Values of a text may take this many times its size, and `kFreeBytes` more.
constexpr size_t kMaxGrowth = 4;
constexpr size_t kFreeBytes = 1024 * 1024;
/// A document may take this part of the memory that is left.
constexpr size_t kPartOfMemory = 3;

std::mutex left_mutex;
/// Guarded by `left_mutex`.
std::function<size_t()> memory_left;

std::function<size_t()> MemoryLeft() {
  const std::lock_guard<std::mutex> lock(left_mutex);
  return memory_left;
}

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

void SetJsonMemory(std::function<size_t()> left) {
  const std::lock_guard<std::mutex> lock(left_mutex);
  memory_left = std::move(left);
}

boost::json::value ParseJsonBody(std::string_view text, boost::system::error_code& error) {
  // The parser keeps the values of unfinished lists in memory of its own, which counts as well.
  const std::function<size_t()> left = MemoryLeft();
  const size_t by_text = text.size() * kMaxGrowth + kFreeBytes;
  const size_t by_memory = left ? left() / kPartOfMemory : SIZE_MAX;
  const auto memory =
      boost::json::make_shared_resource<LimitedResource>(std::min(by_text, by_memory));
  try {
    boost::json::parser parser(memory);
    parser.reset(memory);
    parser.write(text.data(), text.size(), error);
    return error ? boost::json::value(nullptr) : parser.release();
  } catch (const std::bad_alloc&) {
    error = boost::system::errc::make_error_code(by_memory < by_text
                                                     ? boost::system::errc::not_enough_memory
                                                     : boost::system::errc::value_too_large);
    return nullptr;
  }
}

}  // namespace millstair
