/** @file answer_stream_base.h Writes the event stream of one job to one connection. */
#ifndef POLLENSTALL_FAKE_BACKEND_ANSWER_STREAM_BASE_H
#define POLLENSTALL_FAKE_BACKEND_ANSWER_STREAM_BASE_H

#include "fake_backend/backend_server_base.h"

#include <memory>
#include <string>

namespace pollenstall {

/// Tracks a position in a job's stream. Events are encoded when they are written, so none is
/// stored.
class answer_stream : public std::enable_shared_from_this<answer_stream> {
public:
  answer_stream(backend_server &OwningServer, session_ptr ClientSession, job_ptr StreamedJob,
                std::int64_t FirstEvent);

  /// Opens the stream and writes the events that are available.
  /// @param EchoedAttempt Attempt named in the response header; empty: none.
  void start(const std::string &EchoedAttempt);

private:
  void writeAvailableEvents();
  std::string encodeAvailableEvents();
  void onWritten();
  void onDisconnected();
  [[nodiscard]] bool isComplete() const { return NextEvent > eventCount(Job->Answer); }

  backend_server &Server;
  session_ptr Session;
  job_ptr Job;
  std::int64_t NextEvent;
  std::int64_t LastEvent; ///< Last event to write; then the stream ends or the connection breaks.
  bool BreakAfterLastEvent{false};
  bool KillAfterWrite{false};
  std::uint64_t ReaderId{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ANSWER_STREAM_BASE_H
