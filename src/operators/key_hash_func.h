/** @file key_hash_func.h Bearer keys are kept and compared as SHA-256 only. */
#ifndef POLLENSTALL_OPERATORS_KEY_HASH_FUNC_H
#define POLLENSTALL_OPERATORS_KEY_HASH_FUNC_H

#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return SHA-256 of the key in lower-case hex.
std::string keyHash(std::string_view Key);

/// @return The key in "Bearer <key>", or nothing where the header has another form.
std::optional<std::string_view> bearerKey(std::string_view Authorization);

/// Compares in a time that does not depend on where the texts differ.
bool sameSecret(std::string_view A, std::string_view B);

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_KEY_HASH_FUNC_H
