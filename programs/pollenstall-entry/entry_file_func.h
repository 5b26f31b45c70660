/** @file entry_file_func.h Reads the small files that the settings name. */
#ifndef POLLENSTALL_ENTRY_ENTRY_FILE_FUNC_H
#define POLLENSTALL_ENTRY_ENTRY_FILE_FUNC_H

#include <optional>
#include <string>

namespace pollenstall {

/// @return The whole content, or nothing if the file cannot be read.
std::optional<std::string> readFile(const std::string &Path);

/// @return The text without trailing line endings.
std::string trimLineEndings(std::string Text);

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_ENTRY_FILE_FUNC_H
