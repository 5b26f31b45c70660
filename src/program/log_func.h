/** @file log_func.h Writes log events as JSON lines to standard error, through log4cxx. */
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
/// A field of a log event. It must never contain a prompt or a key.
using log_field = std::pair<std::string_view, log_value>;

/// Configures log4cxx and the report of crashes; called once, before the first event.
/// @param Program Part of every line.
void startLogging(std::string_view Program, log_level MinLevel);

/// @return The log level of a name in a settings file, or nothing if it is unknown.
std::optional<log_level> logLevelFromText(std::string_view Text);

/**
 * Writes one line with time, level, program, event and fields. Never blocks on the reader of the
 * log.
 * @param Event A fixed lower_snake name, listed in docs/OPERATING.md.
 */
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields = {});

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_LOG_FUNC_H
