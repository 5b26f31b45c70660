/** @file request_head_type.h The head of a caller's request, after it has been checked. */
#ifndef POLLENSTALL_RELAY_REQUEST_HEAD_TYPE_H
#define POLLENSTALL_RELAY_REQUEST_HEAD_TYPE_H

#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace pollenstall {

/// Method, target and headers; which body follows.
struct request_head {
  std::string Method;
  std::string Target; ///< In origin form: starts with "/".
  boost::beast::http::fields Fields;
  std::size_t ContentLength{0}; ///< Of a body that is not chunked.
  bool Chunked{false};
  bool KeepAlive{true};
  bool ExpectsContinue{false};

  /// @return The header's value, or an empty text where it is absent.
  [[nodiscard]] std::string_view header(std::string_view Name) const {
    const auto Value = Fields[boost::beast::string_view(Name.data(), Name.size())];
    return {Value.data(), Value.size()};
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_REQUEST_HEAD_TYPE_H
