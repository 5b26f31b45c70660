/** @file request_path_func.h The form of a request's path that routes are matched against. */
#ifndef POLLENSTALL_DECLARATION_REQUEST_PATH_FUNC_H
#define POLLENSTALL_DECLARATION_REQUEST_PATH_FUNC_H

#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/**
 * Normalises a request target as a backend server may do, so that another spelling of a
 * non-idempotent path cannot match an idempotent route and be retried.
 * Percent-encoding is decoded once; empty segments, "." and path parameters (";…") are removed;
 * ".." is resolved; query and fragment are removed.
 * @param Target The request target in origin form.
 * @return "/a/b" without a trailing slash ("/" for the root), or nothing if the target is not
 * absolute, leads above the root, has an invalid percent-encoding, or has a backslash, an encoded
 * separator or a control character.
 */
std::optional<std::string> normalisePath(std::string_view Target);

/// @return Whether Prefix, in normal form, matches whole leading segments of Path.
bool coversPath(std::string_view Prefix, std::string_view Path);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_REQUEST_PATH_FUNC_H
