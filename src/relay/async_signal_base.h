/** @file async_signal_base.h Lets a coroutine wait for a state change made by another coroutine of
 * the same thread. */
#ifndef POLLENSTALL_RELAY_ASYNC_SIGNAL_BASE_H
#define POLLENSTALL_RELAY_ASYNC_SIGNAL_BASE_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pollenstall {

/// Wakes all waiters. Each waiter checks its condition again.
class async_signal {
public:
  explicit async_signal(boost::asio::io_context &Io)
      : Timer(Io, boost::asio::steady_timer::time_point::max()) {}

  void notify() { Timer.cancel(); }

  boost::asio::awaitable<void> wait() {
    boost::system::error_code Code; // Always "aborted": the timer never expires.
    co_await Timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, Code));
  }

private:
  boost::asio::steady_timer Timer;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ASYNC_SIGNAL_BASE_H
