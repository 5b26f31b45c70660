/** @file limited_servers_base.h The backend servers that state a limit, as one entry knows them. */
#ifndef POLLENSTALL_RATE_LIMIT_LIMITED_SERVERS_BASE_H
#define POLLENSTALL_RATE_LIMIT_LIMITED_SERVERS_BASE_H

#include "rate_limit/rate_limit_type.h"

#include <cstddef>
#include <map>

namespace pollenstall {

/// Tracks the limits that answers to this entry state.
class limited_servers {
public:
  /**
   * Records an answer. Answers overtake each other: one without a limit ends the limit only if its
   * request was sent after the last answer that stated one had arrived.
   */
  rate_limit_change record(const rate_limit_answer &Answer, mono_time Now);
  /// Forgets an incarnation that has ended.
  void remove(const backend_key &Backend) { Limits.erase(Backend); }

  [[nodiscard]] bool isLimited(const backend_key &Backend) const {
    return !Limits.empty() && Limits.contains(Backend);
  }
  [[nodiscard]] std::size_t count() const { return Limits.size(); }

private:
  struct known_limit {
    requests_per_second Limit;
    mono_time StatedAt;
  };
  std::map<backend_key, known_limit> Limits;
};

} // namespace pollenstall

#endif // POLLENSTALL_RATE_LIMIT_LIMITED_SERVERS_BASE_H
