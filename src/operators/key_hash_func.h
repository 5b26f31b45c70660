/** @file key_hash_func.h Hashes bearer keys, which are stored and compared only as SHA-256. */
#ifndef POLLENSTALL_OPERATORS_KEY_HASH_FUNC_H
#define POLLENSTALL_OPERATORS_KEY_HASH_FUNC_H

#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The SHA-256 of the key in lower-case hex.
std::string keyHash(std::string_view Key);

/// @return The key of the header value "Bearer <key>", or nothing if it has another form.
std::optional<std::string_view> bearerKey(std::string_view Authorization);

/// Compares two secrets in a time that does not depend on where they differ.
bool equalInConstantTime(std::string_view A, std::string_view B);

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_KEY_HASH_FUNC_H
