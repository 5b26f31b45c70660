/** @file idle_connections_test.cpp Bound on the idle connections to a backend server. */
#include "relay/backend_connection_pool_base.h"
#include "relay/rethrow_func.h"
#include "support/test_support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// Opens five connections and returns them with a bound of two.
boost::asio::awaitable<void> openAndReturn(backend_connection_pool &Pool, backend_key Server) {
  constexpr std::size_t Count = 5;
  constexpr std::size_t MaxIdle = 2;
  std::vector<backend_connection> Opened;
  Opened.reserve(Count);
  while (Opened.size() < Count)
    Opened.push_back(co_await Pool.open(Server, connection_reuse::NewOnly));
  for (backend_connection &Connection : Opened)
    if (Connection)
      Pool.returnToPool(Server, std::move(Connection), std::nullopt, MaxIdle);
}

TEST(IdleConnectionsTest, ConnectionsAboveTheBoundAreClosed) {
  scripted_server Server(
      [](scripted_server::tcp_socket &Socket, const received_request &) { waitForClose(Socket); });
  boost::asio::io_context Io;
  socket_sweeper Sweeper(Io);
  const relay_limits Limits;
  backend_connection_pool Pool(Sweeper, Limits);
  boost::asio::co_spawn(Io, openAndReturn(Pool, Server.key()), rethrow);
  EXPECT_TRUE(eventually([&] {
    Io.poll();
    Io.restart();
    return Pool.idle() > 0;
  }));
  EXPECT_EQ(Pool.idle(), 2U);
}

} // namespace
} // namespace pollenstall
