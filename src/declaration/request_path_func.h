/** @file request_path_func.h The form of a request's path that routes are matched against. */
#ifndef POLLENSTALL_DECLARATION_REQUEST_PATH_FUNC_H
#define POLLENSTALL_DECLARATION_REQUEST_PATH_FUNC_H

#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/**
 * Brings a request target into the form that a backend server may reduce it to, so that another
 * spelling of a non-idempotent path cannot match an idempotent route and be retried.
 * Percent-encoding is decoded once; empty segments, "." and path parameters (";…") are dropped;
 * ".." is resolved; query and fragment are cut off.
 * @param Target The request target in origin form.
 * @return "/a/b" without a trailing slash ("/" for the root), or nothing where the target is not
 * absolute, climbs above the root, is badly encoded, or hides a separator or a control character.
 */
std::optional<std::string> normalisePath(std::string_view Target);

/// @return Whether Prefix, in normal form, covers Path at a border of segments.
bool coversPath(std::string_view Prefix, std::string_view Path);

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_REQUEST_PATH_FUNC_H
