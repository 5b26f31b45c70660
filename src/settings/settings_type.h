/** @file settings_type.h Values and errors of a settings file. */
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

/// A value with the type it has in the file.
using raw_setting = std::variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

/// @return The integer or floating-point value as a double, or nothing for other types.
inline std::optional<double> numberOf(const raw_setting &Raw) {
  if (const auto *Whole = std::get_if<std::int64_t>(&Raw))
    return static_cast<double>(*Whole);
  if (const auto *Real = std::get_if<double>(&Raw))
    return *Real;
  return std::nullopt;
}

/// @return The number as the manual prints it, without insignificant digits.
inline std::string formatNumber(double Value) {
  std::ostringstream Text;
  Text << std::setprecision(std::numeric_limits<double>::digits10) << Value;
  return Text.str();
}

/// One key of the file with its value and line.
struct raw_entry {
  std::string Key; ///< Dotted path, for example "listen.callers".
  int Line{0};
  raw_setting Value;
};

/// An error in one key, or in the whole file if Key is empty.
struct settings_error {
  std::string File;
  int Line{0};
  std::string Key;
  std::string Allowed; ///< The accepted values, in words.

  auto operator<=>(const settings_error &) const = default;
};

/// @return One line for each error: "file:line: key: allowed: …".
std::string toText(const std::vector<settings_error> &Errors);

/// Validates a text. @return The accepted form, or nothing if the text is valid.
using text_check = std::function<std::optional<std::string>(const std::string &)>;

/// Whether the file must contain the key.
enum class presence : std::uint8_t { Optional, Required };

} // namespace pollenstall

#endif // POLLENSTALL_SETTINGS_SETTINGS_TYPE_H
