/** @file server_record_base.h Share of a server's attempts that fail, and the rest that follows. */
#ifndef POLLENSTALL_PLACEMENT_SERVER_RECORD_BASE_H
#define POLLENSTALL_PLACEMENT_SERVER_RECORD_BASE_H

#include "placement/placement_type.h"

#include <cstdint>

namespace pollenstall {

/// How an attempt failed at a server that can be reached.
enum class server_fault : std::uint8_t {
  Declined,    ///< The server stated that it did not start the work.
  ErrorAnswer, ///< An answer with a 5xx status, which may be the fault of the caller.
  WrongBytes,  ///< The answer is not valid or belongs to another attempt.
};

/// Recent attempts of a server. Counts decay, so they need not be whole.
struct attempt_counts {
  double Attempts{0};
  double Failures{0};
};

/// Returns the share of attempts that fail. With few attempts it is lower than the ratio.
double failedShare(const attempt_counts &Counts);

/**
 * Recent attempts of one server at one entry, and how many of them failed. A server that fails more
 * often than the others of its service rests after a failure: shortly if it takes a part of its
 * work, for seconds if it takes nothing. Without work, such a server would look idle and be chosen
 * again and again.
 */
class server_record {
public:
  /// Records that the server took an attempt, which ends its rest.
  void recordSuccess(const placement_tuning &Tuning, mono_time Now);
  /// @param WasCounted Whether this attempt was recorded as a success before.
  /// @param UsualShare Share of attempts that fail at the other servers of the service.
  void recordFailure(server_fault Fault, bool WasCounted, double UsualShare,
                     const placement_tuning &Tuning, mono_time Now);

  /// Returns the recent attempts; each counts half after every RecordHalfLife.
  [[nodiscard]] attempt_counts recent(const placement_tuning &Tuning, mono_time Now) const;
  /// Returns whether the server has failed so often that others come first.
  [[nodiscard]] bool rests(mono_time Now) const { return Now < RestUntil; }

private:
  attempt_counts Counts; ///< As of CountsTime.
  mono_time CountsTime;
  mono_time RestUntil;
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_SERVER_RECORD_BASE_H
