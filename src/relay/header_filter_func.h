/** @file header_filter_func.h Selects the headers forwarded between callers and backend servers. */
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
 * Returns the caller's end-to-end headers. Hop-by-hop headers, headers named by Connection, the
 * caller's key and names that only the system may set are removed: a caller that could set
 * X-Pollenstall-Attempt could have another caller's attempt cancelled.
 */
std::vector<header_line> forwardedRequestHeaders(const boost::beast::http::fields &Fields);

/// Returns the end-to-end headers for which IsDropped is false.
std::vector<header_line>
endToEndHeaders(const boost::beast::http::fields &Fields,
                const std::function<bool(std::string_view Name)> &IsDropped);

/// Returns a backend server's end-to-end headers without framing headers and the system's own
/// headers.
std::vector<header_line> forwardedAnswerHeaders(const boost::beast::http::fields &Fields);

/// Returns whether the name is reserved for the system, in any spelling that a server may normalize
/// to it.
bool isReservedHeader(std::string_view Name);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_HEADER_FILTER_FUNC_H
