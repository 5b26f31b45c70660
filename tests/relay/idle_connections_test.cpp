/** @file idle_connections_test.cpp Bound on the idle connections to a backend server. */
#include "relay/backend_connection_pool_base.h"
#include "support/test_support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

TEST(IdleConnectionsTest, ConnectionsAboveTheBoundAreClosed) {
  scripted_server Server(
      [](scripted_server::tcp_socket &Socket, const received_request &) { waitForClose(Socket); });
  boost::asio::io_context Io;
  socket_sweeper Sweeper(Io);
  const relay_limits Limits;
  backend_connection_pool Pool(Sweeper, Limits);
  const auto OpenAndReturn = [&]() -> boost::asio::awaitable<void> {
    std::vector<backend_connection> Opened;
    for (int Index = 0; Index < 5; ++Index)
      Opened.push_back(co_await Pool.open(Server.key(), connection_reuse::NewOnly));
    for (backend_connection &Connection : Opened) {
      EXPECT_TRUE(Connection);
      if (Connection)
        Pool.returnToPool(Server.key(), std::move(Connection), std::nullopt, 2);
    }
  };
  boost::asio::co_spawn(Io, OpenAndReturn, boost::asio::detached);
  EXPECT_TRUE(eventually([&] {
    Io.poll();
    Io.restart();
    return Pool.idle() > 0;
  }));
  EXPECT_EQ(Pool.idle(), 2U);
}

} // namespace
} // namespace pollenstall
