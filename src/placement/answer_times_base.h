/** @file answer_times_base.h Latest answer times of the servers of a plain service. */
#ifndef POLLENSTALL_PLACEMENT_ANSWER_TIMES_BASE_H
#define POLLENSTALL_PLACEMENT_ANSWER_TIMES_BASE_H

#include "core/core.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace pollenstall {

/// Latest times to the first event at the servers of a service without declared figures, from which
/// the normal time of a server is taken: the median at the others.
class answer_times {
public:
  void record(const backend_key &Server, double Ms) {
    if (Next == Times.size())
      Times.emplace_back();
    Times[Next] = {Server, Ms};
    Next = (Next + 1) % MaxTimes;
  }
  /// Returns the median time at all servers but this one; empty if there are too few.
  [[nodiscard]] std::optional<double> medianOfOthers(const backend_key &Server) const {
    std::vector<double> Others;
    for (const answer_time &Each : Times)
      if (Each.Server != Server)
        Others.push_back(Each.Ms);
    if (Others.size() < MinTimes)
      return std::nullopt;
    const auto Middle = Others.begin() + static_cast<std::ptrdiff_t>(Others.size() / 2);
    std::nth_element(Others.begin(), Middle, Others.end());
    return *Middle;
  }

private:
  static constexpr std::size_t MaxTimes = 64;
  /// With fewer times, one long answer would set the median.
  static constexpr std::size_t MinTimes = 5;

  struct answer_time {
    backend_key Server;
    double Ms{0};
  };
  std::vector<answer_time> Times; ///< A ring.
  std::size_t Next{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_ANSWER_TIMES_BASE_H
