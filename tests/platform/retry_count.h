/** @file retry_count.h Counts repeated requests per service, as backend servers see them. */
#ifndef POLLENSTALL_TESTS_PLATFORM_RETRY_COUNT_H
#define POLLENSTALL_TESTS_PLATFORM_RETRY_COUNT_H

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

/// What a service may get in any window beyond the first arrival of each request.
struct retry_bound {
  double Ratio{0.2};   ///< Of the requests for the service.
  double Reserve{100}; ///< In addition.
  std::chrono::steady_clock::duration Window{std::chrono::seconds(10)};
};

/// The window in which a service gets the most repeats beyond the bound.
struct worst_window {
  std::size_t Repeats{0};
  double Allowed{0};
};

/// Records requests of callers and arrivals at backend servers; may be used from any thread.
class retry_count {
public:
  using time_point = std::chrono::steady_clock::time_point;

  void recordRequest(const std::string &Service);
  void recordArrival(const std::string &Service, const std::string &Request);
  /// @return The worst window; the requests count in it, in the one before it, or in the one half a
  /// window before it, whichever has most.
  [[nodiscard]] worst_window worst(const std::string &Service, const retry_bound &Bound) const;

private:
  mutable std::mutex Guard;
  std::map<std::string, std::vector<time_point>> Requests;
  std::map<std::string, std::vector<time_point>> Repeats;
  std::set<std::string> Arrived;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_PLATFORM_RETRY_COUNT_H
