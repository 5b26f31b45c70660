/** @file stream_answer_base.h Writes the events of one job to one connection. */
#ifndef POLLENSTALL_FAKE_BACKEND_STREAM_ANSWER_BASE_H
#define POLLENSTALL_FAKE_BACKEND_STREAM_ANSWER_BASE_H

#include "fake_backend/backend_server_base.h"

#include <memory>
#include <string>

namespace pollenstall {

/// Holds a place in a job's stream; events are made when they are written, so nothing is stored.
class stream_answer : public std::enable_shared_from_this<stream_answer> {
public:
  stream_answer(backend_server &Server, session_ptr Peer, job_ptr Source, std::int64_t FirstEvent);

  /// Opens the stream and writes whatever is ready. @param Echo The attempt named in the head.
  void start(const std::string &Echo);

private:
  void pump();
  std::string takeEvents();
  void written();
  void leave();
  [[nodiscard]] bool ended() const { return Next > eventCount(Job->Answer); }

  backend_server &Owner;
  session_ptr Session;
  job_ptr Job;
  std::int64_t Next;
  std::int64_t LastEvent; ///< The stream ends after it, in order or cut.
  bool CutsAtEnd{false};
  bool Dies{false};
  std::uint64_t Reader{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_STREAM_ANSWER_BASE_H
