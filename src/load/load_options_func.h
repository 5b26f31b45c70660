/** @file load_options_func.h Command line of pollenstall-load. */
#ifndef POLLENSTALL_LOAD_LOAD_OPTIONS_FUNC_H
#define POLLENSTALL_LOAD_LOAD_OPTIONS_FUNC_H

#include "load/load_type.h"
#include "program/program.h"

namespace pollenstall {

/// The parsed command line, with the settings file.
struct load_command_line {
  load_settings Settings;
  bool CheckOnly{false};
};

/// Parses the command line and loads the settings file that it names.
/// @return The settings, or the exit code if the process must exit at once.
result<load_command_line, exit_code> readLoadOptions(int Count, const char **Values);

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_OPTIONS_FUNC_H
