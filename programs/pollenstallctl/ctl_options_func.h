/** @file ctl_options_func.h The command line and the settings file of the tool. */
#ifndef POLLENSTALL_POLLENSTALLCTL_CTL_OPTIONS_FUNC_H
#define POLLENSTALL_POLLENSTALLCTL_CTL_OPTIONS_FUNC_H

#include "ctl_type.h"
#include "settings/settings.h"

namespace pollenstall {

/**
 * Reads the command line by popt, and --config below it. Prints the pages of --help and --version,
 * and what is wrong.
 * @return The options, or the exit code where the process is to stop at once.
 */
result<ctl_options, ctl_exit> readCtlOptions(int Count, const char **Values);

/// @return The rows of the settings file; the command line goes before it.
const settings_table<ctl_settings> &ctlSettingsTable();

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_CTL_OPTIONS_FUNC_H
