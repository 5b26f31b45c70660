/** @file settings_file_func.h Reads a TOML file into dotted keys. */
#ifndef POLLENSTALL_SETTINGS_SETTINGS_FILE_FUNC_H
#define POLLENSTALL_SETTINGS_SETTINGS_FILE_FUNC_H

#include "core/core.h"
#include "settings/settings_type.h"

#include <string>
#include <vector>

namespace pollenstall {

/**
 * Reads a file of settings.
 * @param Path The file; it is named in the errors as given.
 * @return Every key with its line, or why the file could not be read as TOML.
 */
result<std::vector<raw_entry>, std::vector<settings_error>>
readSettingsFile(const std::string &Path);

/// The same from a text; FileName is only for the errors.
result<std::vector<raw_entry>, std::vector<settings_error>>
readSettingsText(const std::string &Text, const std::string &FileName);

} // namespace pollenstall

#endif // POLLENSTALL_SETTINGS_SETTINGS_FILE_FUNC_H
