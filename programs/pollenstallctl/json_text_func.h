/** @file json_text_func.h Reads members of JSON responses and formats JSON as readable text. */
#ifndef POLLENSTALL_POLLENSTALLCTL_JSON_TEXT_FUNC_H
#define POLLENSTALL_POLLENSTALLCTL_JSON_TEXT_FUNC_H

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The member, or null if the value is not an object or lacks the member.
const boost::json::value *findMember(const boost::json::value &Value, std::string_view Key);

/// @return The member's text, or an empty text if there is no such string.
std::string textAt(const boost::json::value &Value, std::string_view Key);

/// @return The member's value if it is a non-negative whole number.
std::optional<std::uint64_t> numberAt(const boost::json::value &Value, std::string_view Key);

/// @return The member's value if it is a boolean.
std::optional<bool> flagAt(const boost::json::value &Value, std::string_view Key);

/// @return error.code of a response, or an empty text.
std::string errorCode(const boost::json::value &Body);

/// @return error.message of a response, or "no reason given".
std::string errorMessage(const boost::json::value &Body);

/// @return A line for each scalar, an indented block for each object and a table for each list of
/// objects.
std::string toReadableText(const boost::json::value &Value);

/// @return The UTC time, such as "2026-12-02 17:43:35Z".
std::string timeText(std::uint64_t UnixMs);

/// @return The rows in aligned columns, with the keys as headings.
std::string tableText(const boost::json::array &Rows);

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_JSON_TEXT_FUNC_H
