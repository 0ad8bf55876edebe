/// Preloaded library that shifts the clocks of one process, for the soak. The file that
/// MILLSTAIR_SHIFTED_CLOCK names holds two 64-bit integers, in nanoseconds: the offsets of the time
/// of day and of the steady clock. CLOCK_BOOTTIME is not shifted. Without the file nothing is.
#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr int64_t kNanoseconds = 1'000'000'000;

struct Shift {
  int64_t time_of_day = 0;
  int64_t steady = 0;
};

int OpenShiftFile() {
  const char* const path = std::getenv("MILLSTAIR_SHIFTED_CLOCK");
  return path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
}

/// Reads the file at each call, so that a change takes effect at once.
Shift CurrentShift() {
  static const int file = OpenShiftFile();
  Shift shift;
  const int error_before = errno;
  if (file < 0 || pread(file, &shift, sizeof(shift), 0) != sizeof(shift)) shift = {};
  errno = error_before;
  return shift;
}

void Add(timespec& time, int64_t nanoseconds) {
  const int64_t sum = time.tv_sec * kNanoseconds + time.tv_nsec + nanoseconds;
  time.tv_sec = sum / kNanoseconds;
  time.tv_nsec = sum % kNanoseconds;
}

bool IsTimeOfDay(clockid_t clock) {
  return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
}

bool IsSteady(clockid_t clock) {
  return clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE ||
         clock == CLOCK_MONOTONIC_RAW;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  if (syscall(SYS_clock_gettime, clock, time) != 0) return -1;
  if (IsTimeOfDay(clock)) Add(*time, CurrentShift().time_of_day);
  if (IsSteady(clock)) Add(*time, CurrentShift().steady);
  return 0;
}

int gettimeofday(timeval* time, void*) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  time->tv_sec = now.tv_sec;
  time->tv_usec = now.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* out) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = now.tv_sec;
  return now.tv_sec;
}

/// The kernel waits by the real clock, so the deadline is converted back to it.
int pthread_cond_clockwait(pthread_cond_t* condition, pthread_mutex_t* mutex, clockid_t clock,
                           const timespec* until) {
  using Wait = int (*)(pthread_cond_t*, pthread_mutex_t*, clockid_t, const timespec*);
  static const auto wait = reinterpret_cast<Wait>(dlsym(RTLD_NEXT, "pthread_cond_clockwait"));
  timespec shifted = *until;
  if (IsTimeOfDay(clock)) Add(shifted, -CurrentShift().time_of_day);
  if (IsSteady(clock)) Add(shifted, -CurrentShift().steady);
  return wait(condition, mutex, clock, &shifted);
}

}  // extern "C"
