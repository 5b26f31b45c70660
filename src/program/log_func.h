/** @file log_func.h Log events as JSON lines, written through log4cxx to standard error. */
#ifndef POLLENSTALL_PROGRAM_LOG_FUNC_H
#define POLLENSTALL_PROGRAM_LOG_FUNC_H

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace pollenstall {

enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

/// A value of a log event's field.
using log_value = std::variant<std::string, std::int64_t, double, bool>;
/// A field; prompts and keys must never be put into one.
using log_field = std::pair<std::string_view, log_value>;

/// Sets up log4cxx once, before the first event. @param Program Stands in every line.
void startLogging(std::string_view Program, log_level Least);

/// @return The level a settings file names, or nothing.
std::optional<log_level> logLevelFromText(std::string_view Text);

/**
 * Writes one line: time, level, program, event and the fields. Never waits for the log's reader.
 * @param Event A fixed lower_snake name, listed in docs/OPERATING.md.
 */
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields = {});

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_LOG_FUNC_H
