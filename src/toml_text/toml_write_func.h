/** @file toml_write_func.h Formats values as canonical TOML. */
#ifndef POLLENSTALL_TOML_TEXT_TOML_WRITE_FUNC_H
#define POLLENSTALL_TOML_TEXT_TOML_WRITE_FUNC_H

#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// @return A quoted basic string, escaped as TOML requires.
std::string tomlQuote(std::string_view Text);

/// @return The shortest text that parses as the same double.
std::string tomlNumber(double Value);

/// @return A list on one line. @param Items Formatted TOML values.
std::string tomlList(const std::vector<std::string> &Items);

} // namespace pollenstall

#endif // POLLENSTALL_TOML_TEXT_TOML_WRITE_FUNC_H
