/** @file announcer_base.h Periodically announces the backend server to one entry and
 * fails over to the next one. */
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

/// Sends announcements at a fixed interval on the backend server's event loop thread.
class announcer {
public:
  using body_builder = std::function<std::string()>;

  announcer(boost::asio::io_context &Io, std::vector<std::string> InitialEntries,
            std::string BearerKey, std::chrono::milliseconds IntervalBetween,
            body_builder BodyBuilder);

  /// Sends the first announcement.
  void start() { announce(); }
  /// Sends an announcement immediately. @param OnComplete Called after an entry has accepted it, or
  /// after all known entries have failed.
  void announceNow(std::function<void()> OnComplete);

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
  void write(const exchange_ptr &Exchange, std::uint64_t ExchangeId);
  void finish(const exchange_ptr &Exchange, std::uint64_t ExchangeId, bool Accepted);
  void addEntries(const std::string &Answer);
  void scheduleNext();

  boost::asio::io_context &Context;
  boost::asio::steady_timer Timer;
  std::vector<std::string> EntryAddresses;
  std::string Key;
  std::chrono::milliseconds AnnounceInterval;
  body_builder BuildBody;
  std::function<void()> OnAnnounced;
  std::size_t CurrentEntry{0};
  std::size_t ConsecutiveFailures{0};
  std::uint64_t LastExchangeId{0}; ///< Results of earlier exchanges are dropped.
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ANNOUNCER_BASE_H
