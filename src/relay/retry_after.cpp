/** @file retry_after.cpp Reads the Retry-After header of backend servers' answers. */
#include "relay/retry_after_func.h"

#include <boost/beast/http/field.hpp>

#include <iterator>

namespace pollenstall {

pause_statement readRetryAfter(const boost::beast::http::response_header<> &Head) {
  const auto Lines = Head.equal_range(boost::beast::http::field::retry_after);
  if (Lines.first == Lines.second)
    return no_pause{};
  if (std::next(Lines.first) != Lines.second)
    return unreadable_pause{};
  const auto Value = Lines.first->value();
  return parsePause({Value.data(), Value.size()});
}

} // namespace pollenstall
