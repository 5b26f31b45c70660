/** @file entry_file_func.h Small files that the settings name. */
#ifndef POLLENSTALL_ENTRY_ENTRY_FILE_FUNC_H
#define POLLENSTALL_ENTRY_ENTRY_FILE_FUNC_H

#include <optional>
#include <string>

namespace pollenstall {

/// @return All of it; nothing where it can't be read.
std::optional<std::string> readFile(const std::string &Path);

/// @return The text without the line ends behind it.
std::string withoutLineEnd(std::string Text);

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_ENTRY_FILE_FUNC_H
