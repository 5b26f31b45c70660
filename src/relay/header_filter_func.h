/** @file header_filter_func.h Which headers pass between callers and backend servers. */
#ifndef POLLENSTALL_RELAY_HEADER_FILTER_FUNC_H
#define POLLENSTALL_RELAY_HEADER_FILTER_FUNC_H

#include <boost/beast/http/fields.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// One header line.
struct header_line {
  std::string Name;
  std::string Value;
};

/**
 * @return The caller's end-to-end headers. Hop-by-hop headers, those that Connection names, the
 * caller's key, and names that only the system may set are left out: a caller that could set
 * X-Pollenstall-Attempt could have another caller's attempt cancelled.
 */
std::vector<header_line> forwardedRequestHeaders(const boost::beast::http::fields &Fields);

/// @return The end-to-end headers for which IsDropped does not hold, nothing else left out.
std::vector<header_line>
endToEndHeaders(const boost::beast::http::fields &Fields,
                const std::function<bool(std::string_view Name)> &IsDropped);

/// @return A backend server's end-to-end headers, without framing and without the system's own.
std::vector<header_line> forwardedAnswerHeaders(const boost::beast::http::fields &Fields);

/// @return Whether the name is one of the system's own, in any spelling that a server may fold.
bool isOwnHeader(std::string_view Name);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_HEADER_FILTER_FUNC_H
