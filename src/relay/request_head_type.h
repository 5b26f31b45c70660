/** @file request_head_type.h The head of a caller's request, after validation. */
#ifndef POLLENSTALL_RELAY_REQUEST_HEAD_TYPE_H
#define POLLENSTALL_RELAY_REQUEST_HEAD_TYPE_H

#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace pollenstall {

/// Method, target and headers, and how the body is framed.
struct request_head {
  std::string Method;
  std::string Target; ///< In origin form: starts with "/".
  boost::beast::http::fields Fields;
  std::size_t ContentLength{0}; ///< Length of a body that is not chunked.
  bool Chunked{false};
  bool KeepAlive{true};
  bool ExpectsContinue{false};

  /// Returns the header's value, or an empty string if it is absent.
  [[nodiscard]] std::string_view header(std::string_view Name) const {
    const auto Value = Fields[boost::beast::string_view(Name.data(), Name.size())];
    return {Value.data(), Value.size()};
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_REQUEST_HEAD_TYPE_H
