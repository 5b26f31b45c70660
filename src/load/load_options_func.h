/** @file load_options_func.h The load tool's command line: a settings file, or settings as options.
 */
#ifndef POLLENSTALL_LOAD_LOAD_OPTIONS_FUNC_H
#define POLLENSTALL_LOAD_LOAD_OPTIONS_FUNC_H

#include "load/load_type.h"
#include "program/program.h"

namespace pollenstall {

/// What the command line asks for.
struct load_request {
  load_settings Settings;
  bool CheckOnly{false};
};

/// Reads the command line. @return The settings, or the exit code where the process stops at once.
result<load_request, exit_code> readLoadOptions(int Count, const char **Values);

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_OPTIONS_FUNC_H
