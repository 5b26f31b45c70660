/** @file program_func.h Common start of every binary: command line, settings and exit code. */
#ifndef POLLENSTALL_PROGRAM_PROGRAM_FUNC_H
#define POLLENSTALL_PROGRAM_PROGRAM_FUNC_H

#include "program/log_func.h"
#include "program/program_type.h"
#include "settings/settings.h"

#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace pollenstall {

/// Options of the common command line.
struct program_options {
  std::string ConfigFile;
  bool CheckOnly{false};
  bool PrintManual{false};
};

/**
 * Parses --help, --version, --config FILE, --check and --manual.
 * @return The options, or an exit code if the process must stop.
 */
result<program_options, exit_code> readOptions(int Count, const char **Values,
                                               const program_description &Description);

/// Prints one row of the settings manual.
void printManualRow(const std::string &Key, const std::string &Allowed, const std::string &Default,
                    const std::string &Meaning);

/**
 * Runs a binary: parses options, loads settings and calls Body.
 * @param Body Receives the checked settings; returns when the process must end.
 * @return The exit code of the process.
 */
template <typename Settings>
int runProgram(int Count, const char **Values, const program_description &Description,
               const settings_table<Settings> &Table,
               const std::function<exit_code(const Settings &)> &Body) {
  const auto Options = readOptions(Count, Values, Description);
  if (!succeeded(Options))
    return static_cast<int>(errorOf(Options));
  if (valueOf(Options).PrintManual) {
    for (const auto &Row : Table.rows())
      printManualRow(Row.Key, Row.Allowed,
                     Row.Needed == presence::Required ? "(required)" : Row.Default, Row.Meaning);
    return static_cast<int>(exit_code::Ok);
  }
  const auto Loaded = Table.load(valueOf(Options).ConfigFile);
  if (!succeeded(Loaded)) {
    std::fputs(toText(errorOf(Loaded)).c_str(), stderr);
    return static_cast<int>(exit_code::BadUsage);
  }
  if (valueOf(Options).CheckOnly) {
    std::puts("settings are valid");
    return static_cast<int>(exit_code::Ok);
  }
  return static_cast<int>(Body(valueOf(Loaded)));
}

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_PROGRAM_FUNC_H
