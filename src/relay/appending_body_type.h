/** @file appending_body_type.h A Beast body that appends what arrives to a string. */
#ifndef POLLENSTALL_RELAY_APPENDING_BODY_TYPE_H
#define POLLENSTALL_RELAY_APPENDING_BODY_TYPE_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace pollenstall {

/// Unlike string_body it reserves nothing: a forged Content-Length must not allocate.
struct appending_body {
  using value_type = std::string;

  static std::uint64_t size(const value_type &Body) { return Body.size(); }

  class reader {
  public:
    template <bool IsRequest, typename Fields>
    reader(boost::beast::http::header<IsRequest, Fields> &, value_type &Body) : Into(Body) {}

    void init(const boost::optional<std::uint64_t> &, boost::system::error_code &Code) {
      Code = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers &Parts, boost::system::error_code &Code) {
      Code = {};
      std::size_t Taken = 0;
      for (auto At = boost::asio::buffer_sequence_begin(Parts);
           At != boost::asio::buffer_sequence_end(Parts); ++At) {
        const boost::asio::const_buffer Part(*At);
        Into.append(static_cast<const char *>(Part.data()), Part.size());
        Taken += Part.size();
      }
      return Taken;
    }

    void finish(boost::system::error_code &Code) { Code = {}; }

  private:
    value_type &Into;
  };
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_APPENDING_BODY_TYPE_H
