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
  std::uint64_t Events{0};        ///< Complete events of this answer.
  std::size_t UnfinishedBytes{0}; ///< Bytes of an event whose end has not arrived.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ANSWER_END_TYPE_H
