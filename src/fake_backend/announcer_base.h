/** @file announcer_base.h Announces the backend server to one entry, on failure to the next. */
#ifndef POLLENSTALL_FAKE_BACKEND_ANNOUNCER_BASE_H
#define POLLENSTALL_FAKE_BACKEND_ANNOUNCER_BASE_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// Loop of announcements on the backend server's own thread.
class announcer {
public:
  using body_hook = std::function<std::string()>;

  announcer(boost::asio::io_context &Io, std::vector<std::string> Entries, std::string BearerKey,
            std::chrono::milliseconds Interval, body_hook MakeBody);

  /// Sends the first announcement.
  void start() { announce(); }
  /// Announces at once. @param Then Called after an entry took it, or after every entry failed.
  void announceNow(std::function<void()> Then);

private:
  struct exchange_state {
    explicit exchange_state(boost::asio::io_context &Io) : Stream(Io) {}
    boost::beast::tcp_stream Stream;
    boost::beast::flat_buffer Buffer;
    boost::beast::http::request<boost::beast::http::string_body> Request;
    boost::beast::http::response<boost::beast::http::string_body> Response;
  };
  using exchange_ptr = std::shared_ptr<exchange_state>;

  void announce();
  void write(const exchange_ptr &Exchange, std::uint64_t Turn);
  void finish(const exchange_ptr &Exchange, std::uint64_t Turn, bool Taken);
  void addEntries(const std::string &Answer);
  void scheduleNext();

  boost::asio::io_context &Context;
  boost::asio::steady_timer Timer;
  std::vector<std::string> Known;
  std::string Key;
  std::chrono::milliseconds Pause;
  body_hook Body;
  std::function<void()> AfterNext;
  std::size_t Current{0};
  std::size_t FailedInRow{0};
  std::uint64_t LastTurn{0}; ///< An answer of an earlier turn is dropped.
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ANNOUNCER_BASE_H
