/** @file appending_body_type.h A Beast body that appends received bytes to a string. */
#ifndef POLLENSTALL_MESSAGE_FEED_APPENDING_BODY_TYPE_H
#define POLLENSTALL_MESSAGE_FEED_APPENDING_BODY_TYPE_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace pollenstall {

/// Reserves no memory up front, unlike string_body: a forged Content-Length must not allocate.
struct appending_body {
  using value_type = std::string;

  static std::uint64_t size(const value_type &Body) { return Body.size(); }

  class reader {
  public:
    template <bool IsRequest, typename Fields>
    reader(boost::beast::http::header<IsRequest, Fields> &, value_type &Body) : Target(Body) {}

    void init(const boost::optional<std::uint64_t> &, boost::system::error_code &Code) {
      Code = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers &Parts, boost::system::error_code &Code) {
      Code = {};
      std::size_t Appended = 0;
      for (auto At = boost::asio::buffer_sequence_begin(Parts);
           At != boost::asio::buffer_sequence_end(Parts); ++At) {
        const boost::asio::const_buffer Part(*At);
        Target.append(static_cast<const char *>(Part.data()), Part.size());
        Appended += Part.size();
      }
      return Appended;
    }

    void finish(boost::system::error_code &Code) { Code = {}; }

  private:
    value_type &Target;
  };
};

} // namespace pollenstall

#endif // POLLENSTALL_MESSAGE_FEED_APPENDING_BODY_TYPE_H
