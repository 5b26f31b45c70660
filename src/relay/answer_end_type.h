/** @file answer_end_type.h How an answer of a backend server ended, and what that proves. */
#ifndef POLLENSTALL_RELAY_ANSWER_END_TYPE_H
#define POLLENSTALL_RELAY_ANSWER_END_TYPE_H

#include <cstddef>
#include <cstdint>

namespace pollenstall {

/// How a backend server marks the end of an answer's body (RFC 9112, section 6.3).
enum class body_framing : std::uint8_t {
  Empty,      ///< No body can follow (HEAD, 204, 304).
  Length,     ///< Content-Length.
  Chunked,    ///< The last chunk.
  Connection, ///< Neither; the body ends with the connection.
};

/// State of the receiving side of a connection to a backend server.
enum class connection_end : std::uint8_t {
  Open,     ///< More bytes may arrive.
  Closed,   ///< The peer has closed it; every byte that it sent has arrived.
  Reset,    ///< It broke; bytes may be missing.
  TimedOut, ///< The peer sent nothing until the deadline.
};

/// What has been received of one answer.
struct answer_progress {
  body_framing Framing{body_framing::Length};
  connection_end Connection{connection_end::Open};
  bool MessageDone{false};        ///< All bytes that the framing announces have arrived.
  bool IsEventStream{false};      ///< The body is a stream of server-sent events.
  std::uint64_t Events{0};        ///< Complete events with data that the caller lacked.
  std::size_t UnfinishedBytes{0}; ///< Bytes of an event whose end has not arrived.
  /// Bytes of the request that were not written: the server answered first, or the connection
  /// broke.
  std::size_t UnsentBytes{0};
};

/// What the end of an answer proves.
enum class answer_end : std::uint8_t {
  Unfinished, ///< More of it may arrive.
  Whole,      ///< Nothing shows that a part is missing.
  BrokenOff,  ///< A part is missing, or nothing shows that the answer was finished.
};

/// The observation that decided an answer_end.
enum class answer_end_reason : std::uint8_t {
  None,             ///< The answer is unfinished.
  EndMark,          ///< All bytes that the framing announces have arrived.
  ClosedConnection, ///< The server closed the connection, which is the only end that it announced.
  InsideMessage,    ///< The connection closed before the end that the framing announces.
  InsideEvent,      ///< The stream ended inside an event.
  NoEvent,          ///< The stream has no end mark, and the connection closed before any event.
  Reset,            ///< The connection broke.
  Silence,          ///< The server sent nothing until the deadline.
};

struct answer_verdict {
  answer_end End{answer_end::Unfinished};
  answer_end_reason Reason{answer_end_reason::None};

  bool operator==(const answer_verdict &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ANSWER_END_TYPE_H
