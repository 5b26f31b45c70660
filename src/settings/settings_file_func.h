/** @file settings_file_func.h Parses a TOML file into a list of dotted keys. */
#ifndef POLLENSTALL_SETTINGS_SETTINGS_FILE_FUNC_H
#define POLLENSTALL_SETTINGS_SETTINGS_FILE_FUNC_H

#include "core/core.h"
#include "settings/settings_type.h"

#include <string>
#include <vector>

namespace pollenstall {

/**
 * Reads and parses a settings file.
 * @param Path The file; errors contain the path as given.
 * @return Every key with its line, or the errors if the file cannot be read or parsed as TOML.
 */
result<std::vector<raw_entry>, std::vector<settings_error>>
readSettingsFile(const std::string &Path);

/// Parses settings from a text. @param FileName The file name for error messages.
result<std::vector<raw_entry>, std::vector<settings_error>>
readSettingsText(const std::string &Text, const std::string &FileName);

} // namespace pollenstall

#endif // POLLENSTALL_SETTINGS_SETTINGS_FILE_FUNC_H
