/** @file settings_type.h Values read from a settings file and the errors found in them. */
#ifndef POLLENSTALL_SETTINGS_SETTINGS_TYPE_H
#define POLLENSTALL_SETTINGS_SETTINGS_TYPE_H

#include <cstdint>
#include <functional>
#include <iomanip>
#include <limits>
#include <optional>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

/// A value as the file gives it.
using raw_setting = std::variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

/// @return The number that the file gives, whole or not; nothing where it gives something else.
inline std::optional<double> numberOf(const raw_setting &Raw) {
  if (const auto *Whole = std::get_if<std::int64_t>(&Raw))
    return static_cast<double>(*Whole);
  if (const auto *Real = std::get_if<double>(&Raw))
    return *Real;
  return std::nullopt;
}

/// @return The number as the manual prints it, without digits that say nothing.
inline std::string shownNumber(double Value) {
  std::ostringstream Text;
  Text << std::setprecision(std::numeric_limits<double>::digits10) << Value;
  return Text.str();
}

/// One key of the file, with the place where it stands.
struct raw_entry {
  std::string Key; ///< Dotted path, for example "listen.callers".
  int Line{0};
  raw_setting Value;
};

/// What is wrong with one key, or with the file where Key is empty.
struct settings_error {
  std::string File;
  int Line{0};
  std::string Key;
  std::string Allowed; ///< What would have been right.

  auto operator<=>(const settings_error &) const = default;
};

/// @return "file:line: key: what is allowed", one error a line.
std::string toText(const std::vector<settings_error> &Errors);

/// Says what is allowed where a text is not; nothing where it is.
using text_check = std::function<std::optional<std::string>(const std::string &)>;

/// Whether the file must give a value.
enum class presence : std::uint8_t { Optional, Required };

} // namespace pollenstall

#endif // POLLENSTALL_SETTINGS_SETTINGS_TYPE_H
