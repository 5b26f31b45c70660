/** @file eventually.cpp Polls a condition. */
#include "support/eventually_func.h"

#include <thread>

namespace pollenstall {

bool eventually(const std::function<bool()> &Condition, std::chrono::milliseconds Limit) {
  constexpr std::chrono::milliseconds Pause{5};
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(Pause);
  }
  return true;
}

} // namespace pollenstall
