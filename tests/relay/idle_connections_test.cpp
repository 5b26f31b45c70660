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

/// A pool that keeps one idle connection to a server of which nothing was heard recently.
class pool_of_one_connection : public testing::Test {
protected:
  pool_of_one_connection() {
    Pool.connector().paths().addServer({Server.key(), service_name("svc"), {}});
    open();
    Pool.returnToPool(Server.key(), std::move(Opened));
    EXPECT_EQ(Pool.idle(), 1U);
  }

  /// Makes the server one that was heard of just now, or a long time ago.
  void setHeard(mono_time When) { *Pool.connector().paths().lastHeard(Server.key()) = When; }

  void open() {
    bool Ended = false;
    const backend_key Key = Server.key();
    boost::asio::co_spawn(Io, Pool.open(Key, connection_reuse::Allowed),
                          [&](const std::exception_ptr &, backend_connection Connection) {
                            Opened = std::move(Connection);
                            Ended = true;
                          });
    EXPECT_TRUE(eventually([&] {
      Io.poll();
      Io.restart();
      return Ended;
    }));
  }

  scripted_server Server{
      [](scripted_server::tcp_socket &Socket, const received_request &) { waitForClose(Socket); }};
  boost::asio::io_context Io;
  socket_sweeper Sweeper{Io};
  const relay_limits Limits;
  backend_connection_pool Pool{Sweeper, Limits};
  backend_connection Opened;
};

// The entry ends with a damaged heap, and with it all requests that it carries: the last idle
// connection is taken, all servers fall silent, and the next request wants to close an idle one.
TEST_F(pool_of_one_connection, HasNoneToCloseAfterItWasTaken) {
  setHeard(boot_clock::now());
  open();
  EXPECT_EQ(Pool.idle(), 0U);
  setHeard(boot_clock::now() - std::chrono::seconds(1));
  open();
  EXPECT_EQ(Pool.idle(), 0U);
  Pool.returnToPool(Server.key(), std::move(Opened));
  EXPECT_EQ(Pool.idle(), 1U);
}

TEST_F(pool_of_one_connection, HasNoneToCloseIfItMayKeepNone) {
  Pool.closeIdle(mono_time::max());
  setHeard(boot_clock::now() - std::chrono::seconds(1));
  open();
  Pool.returnToPool(Server.key(), std::move(Opened), std::nullopt, 0);
  open();
  EXPECT_EQ(Pool.idle(), 0U);
}

} // namespace
} // namespace pollenstall
