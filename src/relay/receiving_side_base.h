/** @file receiving_side_base.h How the receiving side of a connection has ended, from the results
 * of its operations. */
#ifndef POLLENSTALL_RELAY_RECEIVING_SIDE_BASE_H
#define POLLENSTALL_RELAY_RECEIVING_SIDE_BASE_H

#include "relay/answer_end_type.h"

#include <boost/asio/error.hpp>

namespace pollenstall {

/**
 * The kernel reports the error of a connection to one operation only. If a write or a look at the
 * input meets a reset, the next read returns an end of input, as if the peer had closed.
 */
class receiving_side {
public:
  /// Notes the error of an operation that consumes no input.
  void noteError(const boost::system::error_code &Error) {
    // EPIPE without an earlier error: the peer had ended its sending side before the reset, so
    // that all of its bytes have arrived.
    const bool IsBroken =
        Error != boost::asio::error::broken_pipe && Error != boost::asio::error::operation_aborted;
    Broken = Broken || IsBroken;
  }
  /// Notes the error that a read returned after the last byte, the end of the input included.
  void noteReadError(const boost::system::error_code &Error) {
    const bool IsEnd = Error == boost::asio::error::eof;
    End = IsEnd && !Broken ? connection_end::Closed : connection_end::Reset;
  }
  /// Returns connection_end::Open until a read has returned an error: unread bytes may be left.
  [[nodiscard]] connection_end end() const { return End; }

private:
  bool Broken{false};
  connection_end End{connection_end::Open};
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RECEIVING_SIDE_BASE_H
