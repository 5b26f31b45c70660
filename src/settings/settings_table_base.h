/** @file settings_table_base.h Defines a table of settings with the key, default, bounds and
 * meaning of each. */
#ifndef POLLENSTALL_SETTINGS_SETTINGS_TABLE_BASE_H
#define POLLENSTALL_SETTINGS_SETTINGS_TABLE_BASE_H

#include "core/core.h"
#include "settings/settings_file_func.h"
#include "settings/settings_type.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

/// Inclusive bounds and default of a number.
template <typename Number> struct number_range {
  Number Default{};
  Number Min{};
  Number Max{};
};

/// One row of a settings table. @tparam Settings The struct that stores the values.
template <typename Settings> struct setting_row {
  std::string Key;     ///< Dotted path; ends in the unit (_ms, _bytes, _percent).
  std::string Allowed; ///< Accepted values, in words, for errors and the manual.
  std::string Default; ///< Text for the manual.
  std::string Meaning; ///< One sentence for the manual.
  presence Needed{presence::Optional};
  std::function<bool(Settings &, const raw_setting &)> Store; ///< False: value rejected.
};

/**
 * Rows of settings in the order of the manual. An unknown key is an error, so that a misspelt key
 * cannot silently leave a default in force.
 */
template <typename Settings> class settings_table {
public:
  /// Adds an integer setting; the member may be any integer type.
  template <typename Number>
  settings_table &number(std::string Key, Number Settings::*Member, number_range<Number> Range,
                         std::string Meaning) {
    const std::string Allowed =
        "a whole number from " + std::to_string(Range.Min) + " to " + std::to_string(Range.Max);
    Defaults.push_back([Member, Range](Settings &Target) { Target.*Member = Range.Default; });
    Rows.push_back({std::move(Key), Allowed, std::to_string(Range.Default), std::move(Meaning),
                    presence::Optional, [Member, Range](Settings &Target, const raw_setting &Raw) {
                      const auto *Value = std::get_if<std::int64_t>(&Raw);
                      if (!Value || std::cmp_less(*Value, Range.Min) ||
                          std::cmp_greater(*Value, Range.Max))
                        return false;
                      Target.*Member = static_cast<Number>(*Value);
                      return true;
                    }});
    return *this;
  }

  /// Adds a duration, in milliseconds if the key ends in "_ms", otherwise in seconds ("_s"). The
  /// file may contain a fraction.
  settings_table &span(std::string Key, std::chrono::milliseconds Settings::*Member,
                       number_range<std::chrono::milliseconds> Range, std::string Meaning) {
    const bool InMillis = Key.ends_with("_ms");
    const double UnitMs = InMillis ? 1.0 : 1000.0;
    const auto Shown = [UnitMs](std::chrono::milliseconds Span) {
      return formatNumber(static_cast<double>(Span.count()) / UnitMs);
    };
    const std::string Allowed = std::string(InMillis ? "milliseconds" : "seconds") + " from " +
                                Shown(Range.Min) + " to " + Shown(Range.Max);
    Defaults.push_back([Member, Range](Settings &Target) { Target.*Member = Range.Default; });
    Rows.push_back({std::move(Key), Allowed, Shown(Range.Default), std::move(Meaning),
                    presence::Optional,
                    [Member, Range, UnitMs](Settings &Target, const raw_setting &Raw) {
                      const auto Value = numberOf(Raw);
                      if (!Value || !(*Value * UnitMs >= static_cast<double>(Range.Min.count())) ||
                          !(*Value * UnitMs <= static_cast<double>(Range.Max.count())))
                        return false;
                      Target.*Member = std::chrono::milliseconds(std::llround(*Value * UnitMs));
                      return true;
                    }});
    return *this;
  }

  /// Adds a floating-point setting; the file may contain an integer.
  settings_table &fraction(std::string Key, double Settings::*Member, number_range<double> Range,
                           std::string Meaning) {
    const std::string Allowed =
        "a number from " + std::to_string(Range.Min) + " to " + std::to_string(Range.Max);
    Defaults.push_back([Member, Range](Settings &Target) { Target.*Member = Range.Default; });
    Rows.push_back({std::move(Key), Allowed, std::to_string(Range.Default), std::move(Meaning),
                    presence::Optional, [Member, Range](Settings &Target, const raw_setting &Raw) {
                      const auto Value = numberOf(Raw);
                      if (!Value || !(*Value >= Range.Min && *Value <= Range.Max))
                        return false;
                      Target.*Member = *Value;
                      return true;
                    }});
    return *this;
  }

  /// Adds a floating-point setting that has no value if the key is absent.
  /// @param Absent Default column of the manual.
  settings_table &fraction(std::string Key, std::optional<double> Settings::*Member, double Min,
                           double Max, std::string Absent, std::string Meaning) {
    Rows.push_back({std::move(Key),
                    "a number from " + formatNumber(Min) + " to " + formatNumber(Max),
                    std::move(Absent), std::move(Meaning), presence::Optional,
                    [Member, Min, Max](Settings &Target, const raw_setting &Raw) {
                      const auto Value = numberOf(Raw);
                      if (!Value || !(*Value >= Min && *Value <= Max))
                        return false;
                      Target.*Member = *Value;
                      return true;
                    }});
    return *this;
  }

  /// Adds a boolean setting.
  settings_table &flag(std::string Key, bool Settings::*Member, bool Default, std::string Meaning) {
    Defaults.push_back([Member, Default](Settings &Target) { Target.*Member = Default; });
    Rows.push_back({std::move(Key), "true or false", Default ? "true" : "false", std::move(Meaning),
                    presence::Optional, [Member](Settings &Target, const raw_setting &Raw) {
                      const auto *Value = std::get_if<bool>(&Raw);
                      if (!Value)
                        return false;
                      Target.*Member = *Value;
                      return true;
                    }});
    return *this;
  }

  /// Adds a text setting. @param Allowed Accepted values, for the manual and errors.
  /// @param Check Validates the text; an empty function accepts any text.
  settings_table &text(std::string Key, std::string Settings::*Member, presence Needed,
                       const std::string &Allowed, const text_check &Check, std::string Meaning,
                       std::string Default = {}) {
    Defaults.push_back([Member, Default](Settings &Target) { Target.*Member = Default; });
    Rows.push_back({std::move(Key), Allowed, Default, std::move(Meaning), Needed,
                    [Member, Check](Settings &Target, const raw_setting &Raw) {
                      const auto *Value = std::get_if<std::string>(&Raw);
                      if (!Value || (Check && Check(*Value)))
                        return false;
                      Target.*Member = *Value;
                      return true;
                    }});
    return *this;
  }

  /// Adds a list of texts; each is validated by Check.
  settings_table &texts(std::string Key, std::vector<std::string> Settings::*Member,
                        presence Needed, const std::string &Allowed, const text_check &Check,
                        std::string Meaning) {
    Rows.push_back({std::move(Key), "a list, each " + Allowed, "[]", std::move(Meaning), Needed,
                    [Member, Check](Settings &Target, const raw_setting &Raw) {
                      const auto *Values = std::get_if<std::vector<std::string>>(&Raw);
                      if (!Values)
                        return false;
                      for (const std::string &Value : *Values)
                        if (Check && Check(Value))
                          return false;
                      Target.*Member = *Values;
                      return true;
                    }});
    return *this;
  }

  /// @return The rows in the order in which they were added.
  [[nodiscard]] const std::vector<setting_row<Settings>> &rows() const { return Rows; }

  /// Reads a file. @return The settings, or all errors in the file.
  [[nodiscard]] result<Settings, std::vector<settings_error>> load(const std::string &Path) const {
    return makeSettings(readSettingsFile(Path), Path);
  }

  /// Reads a text. @param FileName The file name for error messages.
  [[nodiscard]] result<Settings, std::vector<settings_error>>
  loadText(const std::string &Text, const std::string &FileName) const {
    return makeSettings(readSettingsText(Text, FileName), FileName);
  }

private:
  using raw_result = result<std::vector<raw_entry>, std::vector<settings_error>>;

  [[nodiscard]] result<Settings, std::vector<settings_error>>
  makeSettings(const raw_result &Raw, const std::string &File) const {
    if (!succeeded(Raw))
      return errorOf(Raw);
    Settings Loaded{};
    for (const auto &SetDefault : Defaults)
      SetDefault(Loaded);
    std::vector<settings_error> Errors;
    for (const raw_entry &Entry : valueOf(Raw))
      store(Entry, File, Loaded, Errors);
    for (const setting_row<Settings> &Row : Rows)
      if (Row.Needed == presence::Required && !isSet(valueOf(Raw), Row.Key))
        Errors.push_back({File, 0, Row.Key, "required: " + Row.Allowed});
    if (!Errors.empty())
      return Errors;
    return Loaded;
  }

  void store(const raw_entry &Entry, const std::string &File, Settings &Target,
             std::vector<settings_error> &Errors) const {
    const auto Row =
        std::find_if(Rows.begin(), Rows.end(),
                     [&Entry](const setting_row<Settings> &R) { return R.Key == Entry.Key; });
    if (Row == Rows.end())
      Errors.push_back({File, Entry.Line, Entry.Key, "unknown key; allowed here: " + knownKeys()});
    else if (!Row->Store(Target, Entry.Value))
      Errors.push_back({File, Entry.Line, Entry.Key, Row->Allowed});
  }

  [[nodiscard]] std::string knownKeys() const {
    std::string Text;
    for (const setting_row<Settings> &Row : Rows)
      Text += (Text.empty() ? "" : ", ") + Row.Key;
    return Text;
  }

  [[nodiscard]] static bool isSet(const std::vector<raw_entry> &Raw, const std::string &Key) {
    return std::any_of(Raw.begin(), Raw.end(),
                       [&Key](const raw_entry &Entry) { return Entry.Key == Key; });
  }

  std::vector<setting_row<Settings>> Rows;
  std::vector<std::function<void(Settings &)>> Defaults;
};

} // namespace pollenstall

#endif // POLLENSTALL_SETTINGS_SETTINGS_TABLE_BASE_H
