/** @file engine_call_test.cpp Orders to engines whose answers are broken or come behind others. */
#include "order_link/engine_call_func.h"
#include "support/scripted_server_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

const std::string Done = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Sends an order to an engine that gives this answer.
order_outcome outcomeOf(const std::string &Answer) {
  const scripted_server Engine(
      [&Answer](auto &Socket, const received_request &) { sendText(Socket, Answer); });
  planned_order Order;
  Order.Engine.Address = Engine.key().Address;
  return sendOrder(Order, fencing_token(1), {}, [] { return true; });
}

// An engine sends interim answers before the final one, and the order counts as refused.
TEST(OrderAnswer, IsTheFinalOne) {
  EXPECT_EQ(outcomeOf(Done), order_outcome::Done);
  EXPECT_EQ(outcomeOf("HTTP/1.1 102 Processing\r\n\r\n" + Done), order_outcome::Done);
}

// An engine in trouble sends what is no answer: whether the order was carried out is not known.
TEST(OrderAnswer, ProvesNothingIfItIsBroken) {
  EXPECT_EQ(outcomeOf("HTTP/1.1 101 Switching Protocols\r\n\r\n" + Done), order_outcome::Unknown);
  EXPECT_EQ(outcomeOf("HTTP/1.1 102 Processing\r\n\r\n"), order_outcome::Unknown);
  for (const std::string Status : {"000", "099", "600", "999", "20", "2000"})
    EXPECT_EQ(outcomeOf("HTTP/1.1 " + Status + " -\r\nContent-Length: 0\r\n\r\n"),
              order_outcome::Unknown)
        << Status;
  EXPECT_EQ(outcomeOf("HTTP/1.1 200 OK\r\nX-Other: 1\r\n X-Bad: v\r\nContent-Length: 2\r\n\r\n{}"),
            order_outcome::Unknown);
  EXPECT_EQ(outcomeOf("HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 2\r\n\r\n{}"),
            order_outcome::Unknown);
  EXPECT_EQ(outcomeOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n{}"),
            order_outcome::Unknown);
}

} // namespace
} // namespace pollenstall
