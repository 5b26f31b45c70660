/** @file toml_write_func.h Values as TOML writes them, one spelling for each value. */
#ifndef POLLENSTALL_TOML_TEXT_TOML_WRITE_FUNC_H
#define POLLENSTALL_TOML_TEXT_TOML_WRITE_FUNC_H

#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// @return A basic string in quotes with everything escaped that TOML asks for.
std::string tomlQuote(std::string_view Text);

/// @return The shortest spelling that reads back as the same double.
std::string tomlNumber(double Value);

/// @return The items, which are TOML values already, as a list on one line.
std::string tomlList(const std::vector<std::string> &Items);

} // namespace pollenstall

#endif // POLLENSTALL_TOML_TEXT_TOML_WRITE_FUNC_H
