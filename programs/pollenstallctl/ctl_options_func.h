/** @file ctl_options_func.h The command line and the settings file of pollenstallctl. */
#ifndef POLLENSTALL_POLLENSTALLCTL_CTL_OPTIONS_FUNC_H
#define POLLENSTALL_POLLENSTALLCTL_CTL_OPTIONS_FUNC_H

#include "ctl_type.h"
#include "settings/settings.h"

namespace pollenstall {

/**
 * Parses the command line with popt and takes unset options from the --config file. Prints the
 * output of --help, --manual, --version and --check, and errors.
 * @return The options, or the exit code if the process must exit at once.
 */
result<ctl_options, ctl_exit> readCtlOptions(int Count, const char **Values);

/// @return The table of the settings file, which the command line overrides.
const settings_table<ctl_settings> &ctlSettingsTable();

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_CTL_OPTIONS_FUNC_H
