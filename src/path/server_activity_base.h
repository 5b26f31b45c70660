/** @file server_activity_base.h Which backend servers send to this entry, and which are silent. */
#ifndef POLLENSTALL_PATH_SERVER_ACTIVITY_BASE_H
#define POLLENSTALL_PATH_SERVER_ACTIVITY_BASE_H

#include "core/core.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace pollenstall {

/**
 * Tells the silence of one backend server from a silence that all servers share.
 *
 * If every server that is in the middle of an answer falls silent at once, the cause is common to
 * them or lies between them and this entry. Another server would not answer sooner, and sending all
 * requests again would use up the retry budget.
 */
class server_activity {
public:
  /// Records that a server has begun an answer.
  void beginAnswer(const backend_key &Server, mono_time Now);
  /// Records the end of an answer that has begun.
  void endAnswer(const backend_key &Server);
  /// Records that a server has sent a part of an answer.
  void recordBytes(const backend_key &Server, mono_time Now);

  /// Returns whether a silence is no reason yet to ask another server: all other servers that are
  /// in the middle of an answer are silent as well, and there are enough of them to tell. That
  /// holds for a bounded time, since the servers of a rack may have lost power together.
  /// @param Silence How long the server has been silent.
  /// @param Limit After how long the silence of one server alone is a reason.
  [[nodiscard]] bool isShared(const backend_key &Server, mono_duration Silence, mono_duration Limit,
                              mono_time Now) const;

private:
  [[nodiscard]] bool othersAreSilent(const backend_key &Server, mono_time Now) const;

  struct last_bytes {
    backend_key Server;
    mono_time Time;
  };

  std::map<backend_key, std::uint32_t> Answering; ///< Answers that have begun and not ended.
  std::optional<last_bytes> Latest;
  std::optional<last_bytes> LatestOfOthers; ///< Of the servers other than that of Latest.
};

} // namespace pollenstall

#endif // POLLENSTALL_PATH_SERVER_ACTIVITY_BASE_H
