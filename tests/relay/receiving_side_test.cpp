/** @file receiving_side_test.cpp Ends of input after errors that another operation has met. */
#include "relay/receiving_side_base.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <optional>
#include <vector>

namespace pollenstall {
namespace {

namespace error = boost::asio::error;
using boost::system::error_code;

connection_end endOfInputAfter(const std::vector<error_code> &Errors) {
  receiving_side Side;
  for (const error_code &Error : Errors) {
    Side.noteError(Error);
    EXPECT_EQ(Side.end(), connection_end::Open) << "unread bytes may be left";
  }
  Side.noteReadError(error::eof);
  return Side.end();
}

// A write meets the reset, the read after it an end of input, and a cut answer is told as whole.
TEST(EndOfInput, IsAResetIfAWriteHasMetIt) {
  EXPECT_EQ(endOfInputAfter({}), connection_end::Closed);
  EXPECT_EQ(endOfInputAfter({error::connection_reset}), connection_end::Reset);
  EXPECT_EQ(endOfInputAfter({error::timed_out}), connection_end::Reset);
  EXPECT_EQ(endOfInputAfter({error::connection_reset, error::broken_pipe}), connection_end::Reset);
}

// The peer ends its sending side and resets afterwards: its answer is whole.
TEST(EndOfInput, IsACloseIfThePeerEndedItsSendingSideFirst) {
  EXPECT_EQ(endOfInputAfter({error::broken_pipe}), connection_end::Closed);
}

TEST(EndOfInput, IsACloseIfThisProcessCancelledAWrite) {
  EXPECT_EQ(endOfInputAfter({error::operation_aborted}), connection_end::Closed);
}

/// A connection as the kernel keeps it (Linux): an error is reported once, a write after the end of
/// the connection fails with EPIPE.
class kernel_connection {
public:
  void peerEnds() { Ended = Ended || !WasReset; }
  void peerResets() {
    if (WasReset)
      return;
    WasReset = true;
    Pending = Ended ? error_code(error::broken_pipe) : error_code(error::connection_reset);
  }
  /// Returns nothing if the write succeeds.
  std::optional<error_code> write() {
    if (!WasReset)
      return std::nullopt;
    return takePending().value_or(error_code(error::broken_pipe));
  }
  /// Returns nothing if the peer may still send.
  std::optional<error_code> read() {
    if (Ended)
      return error_code(error::eof);
    if (const auto Error = takePending())
      return Error;
    return WasReset ? std::optional(error_code(error::eof)) : std::nullopt;
  }
  [[nodiscard]] bool sentAll() const { return Ended; }

private:
  std::optional<error_code> takePending() { return std::exchange(Pending, std::nullopt); }

  bool Ended{false};
  bool WasReset{false};
  std::optional<error_code> Pending;
};

enum class step : std::uint8_t { PeerEnds, PeerResets, Write, Look };

// Any order of the peer's steps and of writes and looks at the input before the read.
TEST(EndOfInput, IsACloseOnlyIfThePeerEndedItsSendingSide) {
  const bool Passed = rc::check([] {
    kernel_connection Connection;
    receiving_side Side;
    const auto Steps = *rc::gen::container<std::vector<step>>(
        rc::gen::element(step::PeerEnds, step::PeerResets, step::Write, step::Look));
    for (const step Step : Steps) {
      if (Step == step::PeerEnds)
        Connection.peerEnds();
      if (Step == step::PeerResets)
        Connection.peerResets();
      std::optional<error_code> Error;
      if (Step == step::Write)
        Error = Connection.write();
      if (Step == step::Look)
        Error = Connection.read();
      if (Error && *Error != error::eof)
        Side.noteError(*Error);
    }
    const auto Last = Connection.read();
    if (!Last)
      return;
    Side.noteReadError(*Last);
    RC_ASSERT((Side.end() == connection_end::Closed) == Connection.sentAll());
  });
  EXPECT_TRUE(Passed);
}

} // namespace
} // namespace pollenstall
