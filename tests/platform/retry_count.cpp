/** @file retry_count.cpp Sliding windows over the recorded times. */
#include "retry_count.h"

#include <algorithm>

namespace pollenstall {

namespace {

std::size_t countBetween(const std::vector<retry_count::time_point> &Times,
                         retry_count::time_point From, retry_count::time_point To) {
  return static_cast<std::size_t>(std::upper_bound(Times.begin(), Times.end(), To) -
                                  std::lower_bound(Times.begin(), Times.end(), From));
}

} // namespace

void retry_count::recordRequest(const std::string &Service) {
  const std::lock_guard<std::mutex> Lock(Guard);
  Requests[Service].push_back(std::chrono::steady_clock::now());
}

void retry_count::recordArrival(const std::string &Service, const std::string &Request) {
  const std::lock_guard<std::mutex> Lock(Guard);
  if (!Arrived.insert(Request).second)
    Repeats[Service].push_back(std::chrono::steady_clock::now());
}

worst_window retry_count::worst(const std::string &Service, const retry_bound &Bound) const {
  const std::lock_guard<std::mutex> Lock(Guard);
  const auto FoundRepeats = Repeats.find(Service);
  const auto FoundRequests = Requests.find(Service);
  if (FoundRepeats == Repeats.end() || FoundRequests == Requests.end())
    return {};
  worst_window Worst;
  double WorstExcess = -Bound.Reserve;
  for (const time_point End : FoundRepeats->second) {
    const time_point Begin = End - Bound.Window;
    std::size_t Sent = 0;
    for (const auto Earlier : {Bound.Window * 0, Bound.Window / 2, Bound.Window})
      Sent = std::max(Sent, countBetween(FoundRequests->second, Begin - Earlier, End - Earlier));
    const std::size_t Repeated = countBetween(FoundRepeats->second, Begin, End);
    const double Allowed = Bound.Ratio * static_cast<double>(Sent) + Bound.Reserve;
    if (static_cast<double>(Repeated) - Allowed <= WorstExcess)
      continue;
    WorstExcess = static_cast<double>(Repeated) - Allowed;
    Worst = {Repeated, Allowed};
  }
  return Worst;
}

} // namespace pollenstall
