/** @file settings_table_base.h A table that says of each setting its key, default, bounds and
 * meaning. */
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

/// Range of a number, with the default inside it.
template <typename Number> struct number_range {
  Number Default{};
  Number Min{};
  Number Max{};
};

/// One row of a settings table. @tparam Settings The struct that the values are stored in.
template <typename Settings> struct setting_row {
  std::string Key;     ///< Dotted path; the unit stands at its end (_ms, _bytes, _percent).
  std::string Allowed; ///< What the file may say, for errors and for the manual.
  std::string Default; ///< As the manual prints it.
  std::string Meaning; ///< One sentence.
  presence Needed{presence::Optional};
  std::function<bool(Settings &, const raw_setting &)> Store; ///< False: not allowed.
};

/**
 * Rows of settings in the order of the manual. Keys that no row has are refused by name, so that a
 * misspelt key cannot silently leave a default in force.
 */
template <typename Settings> class settings_table {
public:
  /// A whole number; the member may be any integer type.
  template <typename Number>
  settings_table &number(std::string Key, Number Settings::*Member, number_range<Number> Range,
                         std::string Meaning) {
    const std::string Allowed =
        "a whole number from " + std::to_string(Range.Min) + " to " + std::to_string(Range.Max);
    Defaults.push_back([Member, Range](Settings &Into) { Into.*Member = Range.Default; });
    Rows.push_back({std::move(Key), Allowed, std::to_string(Range.Default), std::move(Meaning),
                    presence::Optional, [Member, Range](Settings &Into, const raw_setting &Raw) {
                      const auto *Value = std::get_if<std::int64_t>(&Raw);
                      if (!Value || std::cmp_less(*Value, Range.Min) ||
                          std::cmp_greater(*Value, Range.Max))
                        return false;
                      Into.*Member = static_cast<Number>(*Value);
                      return true;
                    }});
    return *this;
  }

  /// A span, in milliseconds where the key ends in "_ms" and in seconds where it ends in "_s". The
  /// file may give a fraction.
  settings_table &span(std::string Key, std::chrono::milliseconds Settings::*Member,
                       number_range<std::chrono::milliseconds> Range, std::string Meaning) {
    const bool InMillis = Key.ends_with("_ms");
    const double UnitMs = InMillis ? 1.0 : 1000.0;
    const auto Shown = [UnitMs](std::chrono::milliseconds Span) {
      return shownNumber(static_cast<double>(Span.count()) / UnitMs);
    };
    const std::string Allowed = std::string(InMillis ? "milliseconds" : "seconds") + " from " +
                                Shown(Range.Min) + " to " + Shown(Range.Max);
    Defaults.push_back([Member, Range](Settings &Into) { Into.*Member = Range.Default; });
    Rows.push_back({std::move(Key), Allowed, Shown(Range.Default), std::move(Meaning),
                    presence::Optional,
                    [Member, Range, UnitMs](Settings &Into, const raw_setting &Raw) {
                      const auto Value = numberOf(Raw);
                      if (!Value || !(*Value * UnitMs >= static_cast<double>(Range.Min.count())) ||
                          !(*Value * UnitMs <= static_cast<double>(Range.Max.count())))
                        return false;
                      Into.*Member = std::chrono::milliseconds(std::llround(*Value * UnitMs));
                      return true;
                    }});
    return *this;
  }

  /// A number with a fraction; whole numbers are taken too.
  settings_table &fraction(std::string Key, double Settings::*Member, number_range<double> Range,
                           std::string Meaning) {
    const std::string Allowed =
        "a number from " + std::to_string(Range.Min) + " to " + std::to_string(Range.Max);
    Defaults.push_back([Member, Range](Settings &Into) { Into.*Member = Range.Default; });
    Rows.push_back({std::move(Key), Allowed, std::to_string(Range.Default), std::move(Meaning),
                    presence::Optional, [Member, Range](Settings &Into, const raw_setting &Raw) {
                      const auto Value = numberOf(Raw);
                      if (!Value || !(*Value >= Range.Min && *Value <= Range.Max))
                        return false;
                      Into.*Member = *Value;
                      return true;
                    }});
    return *this;
  }

  /// A number with a fraction that has no value where the file is silent. @param Absent What that
  /// means, for the manual.
  settings_table &fraction(std::string Key, std::optional<double> Settings::*Member, double Min,
                           double Max, std::string Absent, std::string Meaning) {
    Rows.push_back({std::move(Key), "a number from " + shownNumber(Min) + " to " + shownNumber(Max),
                    std::move(Absent), std::move(Meaning), presence::Optional,
                    [Member, Min, Max](Settings &Into, const raw_setting &Raw) {
                      const auto Value = numberOf(Raw);
                      if (!Value || !(*Value >= Min && *Value <= Max))
                        return false;
                      Into.*Member = *Value;
                      return true;
                    }});
    return *this;
  }

  /// true or false.
  settings_table &flag(std::string Key, bool Settings::*Member, bool Default, std::string Meaning) {
    Defaults.push_back([Member, Default](Settings &Into) { Into.*Member = Default; });
    Rows.push_back({std::move(Key), "true or false", Default ? "true" : "false", std::move(Meaning),
                    presence::Optional, [Member](Settings &Into, const raw_setting &Raw) {
                      const auto *Value = std::get_if<bool>(&Raw);
                      if (!Value)
                        return false;
                      Into.*Member = *Value;
                      return true;
                    }});
    return *this;
  }

  /// A text. @param Allowed For the manual and errors. @param Check Nothing takes any text.
  settings_table &text(std::string Key, std::string Settings::*Member, presence Needed,
                       const std::string &Allowed, const text_check &Check, std::string Meaning,
                       std::string Default = {}) {
    Defaults.push_back([Member, Default](Settings &Into) { Into.*Member = Default; });
    Rows.push_back({std::move(Key), Allowed, Default, std::move(Meaning), Needed,
                    [Member, Check](Settings &Into, const raw_setting &Raw) {
                      const auto *Value = std::get_if<std::string>(&Raw);
                      if (!Value || (Check && Check(*Value)))
                        return false;
                      Into.*Member = *Value;
                      return true;
                    }});
    return *this;
  }

  /// A list of texts, each checked.
  settings_table &texts(std::string Key, std::vector<std::string> Settings::*Member,
                        presence Needed, const std::string &Allowed, const text_check &Check,
                        std::string Meaning) {
    Rows.push_back({std::move(Key), "a list, each " + Allowed, "[]", std::move(Meaning), Needed,
                    [Member, Check](Settings &Into, const raw_setting &Raw) {
                      const auto *Values = std::get_if<std::vector<std::string>>(&Raw);
                      if (!Values)
                        return false;
                      for (const std::string &Value : *Values)
                        if (Check && Check(Value))
                          return false;
                      Into.*Member = *Values;
                      return true;
                    }});
    return *this;
  }

  /// @return The rows in the order they were declared, for the manual.
  [[nodiscard]] const std::vector<setting_row<Settings>> &rows() const { return Rows; }

  /// Reads a file. @return The settings, or everything that is wrong with the file.
  [[nodiscard]] result<Settings, std::vector<settings_error>> load(const std::string &Path) const {
    return take(readSettingsFile(Path), Path);
  }

  /// Reads a text; FileName is only for the errors.
  [[nodiscard]] result<Settings, std::vector<settings_error>>
  loadText(const std::string &Text, const std::string &FileName) const {
    return take(readSettingsText(Text, FileName), FileName);
  }

private:
  using raw_result = result<std::vector<raw_entry>, std::vector<settings_error>>;

  [[nodiscard]] result<Settings, std::vector<settings_error>> take(const raw_result &Raw,
                                                                   const std::string &File) const {
    if (!succeeded(Raw))
      return errorOf(Raw);
    Settings Into{};
    for (const auto &SetDefault : Defaults)
      SetDefault(Into);
    std::vector<settings_error> Errors;
    for (const raw_entry &Entry : valueOf(Raw))
      store(Entry, File, Into, Errors);
    for (const setting_row<Settings> &Row : Rows)
      if (Row.Needed == presence::Required && !given(valueOf(Raw), Row.Key))
        Errors.push_back({File, 0, Row.Key, "required: " + Row.Allowed});
    if (!Errors.empty())
      return Errors;
    return Into;
  }

  void store(const raw_entry &Entry, const std::string &File, Settings &Into,
             std::vector<settings_error> &Errors) const {
    const auto Row =
        std::find_if(Rows.begin(), Rows.end(),
                     [&Entry](const setting_row<Settings> &R) { return R.Key == Entry.Key; });
    if (Row == Rows.end())
      Errors.push_back({File, Entry.Line, Entry.Key, "unknown key; allowed here: " + keys()});
    else if (!Row->Store(Into, Entry.Value))
      Errors.push_back({File, Entry.Line, Entry.Key, Row->Allowed});
  }

  [[nodiscard]] std::string keys() const {
    std::string Text;
    for (const setting_row<Settings> &Row : Rows)
      Text += (Text.empty() ? "" : ", ") + Row.Key;
    return Text;
  }

  [[nodiscard]] static bool given(const std::vector<raw_entry> &Raw, const std::string &Key) {
    return std::any_of(Raw.begin(), Raw.end(),
                       [&Key](const raw_entry &Entry) { return Entry.Key == Key; });
  }

  std::vector<setting_row<Settings>> Rows;
  std::vector<std::function<void(Settings &)>> Defaults;
};

} // namespace pollenstall

#endif // POLLENSTALL_SETTINGS_SETTINGS_TABLE_BASE_H
