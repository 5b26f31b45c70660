/** @file json_text_func.h Reads members of JSON answers and lays them out for people. */
#ifndef POLLENSTALL_POLLENSTALLCTL_JSON_TEXT_FUNC_H
#define POLLENSTALL_POLLENSTALLCTL_JSON_TEXT_FUNC_H

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The member, or null where the value is no object or lacks it.
const boost::json::value *memberOf(const boost::json::value &Value, std::string_view Key);

/// @return The member's text, or an empty one.
std::string textAt(const boost::json::value &Value, std::string_view Key);

/// @return The member's whole number, if it is one and not negative.
std::optional<std::uint64_t> numberAt(const boost::json::value &Value, std::string_view Key);

/// @return The member, if it is a flag.
std::optional<bool> flagAt(const boost::json::value &Value, std::string_view Key);

/// @return error.code of an answer, or an empty text.
std::string errorCode(const boost::json::value &Body);

/// @return error.message of an answer, or "no reason given".
std::string errorMessage(const boost::json::value &Body);

/// @return A line for each scalar, and a table for each list of objects.
std::string readableText(const boost::json::value &Value);

/// @return Aligned columns under their keys.
std::string tableText(const boost::json::array &Rows);

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_JSON_TEXT_FUNC_H
