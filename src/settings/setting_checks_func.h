/** @file setting_checks_func.h Checks of texts that several programs' settings share. */
#ifndef POLLENSTALL_SETTINGS_SETTING_CHECKS_FUNC_H
#define POLLENSTALL_SETTINGS_SETTING_CHECKS_FUNC_H

#include <optional>
#include <string>

namespace pollenstall {

/// @return What is allowed, unless Text is "IP:port" with a numeric IPv4 or [IPv6] address.
std::optional<std::string> checkAddress(const std::string &Text);

/// @return What is allowed, unless Text is a name of 1 to 64 letters, digits, '.', '_' and '-'.
std::optional<std::string> checkName(const std::string &Text);

/// @return What is allowed, unless Text is a SHA-256 in lower-case hex.
std::optional<std::string> checkKeyHash(const std::string &Text);

/// @return What is allowed, unless Text is not empty.
std::optional<std::string> checkNotEmpty(const std::string &Text);

} // namespace pollenstall

#endif // POLLENSTALL_SETTINGS_SETTING_CHECKS_FUNC_H
