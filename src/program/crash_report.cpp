/** @file crash_report.cpp A signal handler that writes one log line. */
#include "program/crash_report_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <ctime>
#include <unistd.h>

namespace pollenstall {

namespace {

constexpr std::array CrashSignals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

/// A line of bounded size that is built without allocation.
class crash_line {
public:
  void add(std::string_view Text) {
    const std::size_t Count = std::min(Text.size(), Bytes.size() - Size);
    std::copy_n(Text.begin(), Count, Bytes.begin() + static_cast<std::ptrdiff_t>(Size));
    Size += Count;
  }
  void add(std::int64_t Number) {
    constexpr std::size_t MaxDigits = 20;
    std::array<char, MaxDigits> Digits{};
    const auto End = std::to_chars(Digits.begin(), Digits.end(), Number).ptr;
    add(std::string_view(Digits.begin(), static_cast<std::size_t>(End - Digits.begin())));
  }
  void add(const crash_line &Other) { add(std::string_view(Other.Bytes.begin(), Other.Size)); }
  void write() const {
    // The process ends; nothing can be done about a failed write.
    [[maybe_unused]] const ssize_t Written = ::write(STDERR_FILENO, Bytes.data(), Size);
  }

private:
  std::array<char, 256> Bytes{};
  std::size_t Size{0};
};

// A handler may not allocate memory or take locks, so all text but the numbers is made beforehand.
// The array has no destructor: a process may also crash while it exits.
crash_line TextAfterTime;

std::int64_t unixMillis() {
  constexpr std::int64_t MillisPerSecond = 1'000;
  constexpr std::int64_t NanosPerMilli = 1'000'000;
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  return Now.tv_sec * MillisPerSecond + Now.tv_nsec / NanosPerMilli;
}

void handleCrash(int Signal) {
  crash_line Line;
  Line.add("{\"time_unix_ms\":");
  Line.add(unixMillis());
  Line.add(TextAfterTime);
  Line.add(Signal);
  Line.add("}\n");
  Line.write();
  // SA_RESETHAND has restored the default action, which ends the process.
  raise(Signal);
}

} // namespace

void reportCrashes(std::string_view Program) {
  TextAfterTime = {};
  TextAfterTime.add(R"(,"level":"error","program":")");
  TextAfterTime.add(Program);
  TextAfterTime.add(R"(","event":"process_crashed","signal":)");
  for (const int Signal : CrashSignals) {
    struct sigaction Current {};
    sigaction(Signal, nullptr, &Current);
    if (Current.sa_handler != SIG_DFL)
      continue;
    struct sigaction Report {};
    Report.sa_handler = handleCrash;
    Report.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    sigaction(Signal, &Report, nullptr);
  }
}

} // namespace pollenstall
