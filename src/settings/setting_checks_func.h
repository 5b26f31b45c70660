/** @file setting_checks_func.h Text checks shared by the settings of several programs. */
#ifndef POLLENSTALL_SETTINGS_SETTING_CHECKS_FUNC_H
#define POLLENSTALL_SETTINGS_SETTING_CHECKS_FUNC_H

#include <optional>
#include <string>

namespace pollenstall {

/// @return The accepted form, unless Text is "IP:port" with a numeric IPv4 or [IPv6] address.
std::optional<std::string> checkAddress(const std::string &Text);

/// @return The accepted form, unless Text is a name of 1 to 64 letters, digits, '.', '_' and '-'.
std::optional<std::string> checkName(const std::string &Text);

/// @return The accepted form, unless Text is a SHA-256 in lower-case hex.
std::optional<std::string> checkKeyHash(const std::string &Text);

/// @return The accepted form if Text is empty, otherwise nothing.
std::optional<std::string> checkNotEmpty(const std::string &Text);

} // namespace pollenstall

#endif // POLLENSTALL_SETTINGS_SETTING_CHECKS_FUNC_H
