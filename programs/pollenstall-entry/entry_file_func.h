/** @file entry_file_func.h Files that the settings name, and the log line of an open port. */
#ifndef POLLENSTALL_ENTRY_ENTRY_FILE_FUNC_H
#define POLLENSTALL_ENTRY_ENTRY_FILE_FUNC_H

#include <optional>
#include <string>

namespace pollenstall {

/// @return All of it; nothing where it can't be read.
std::optional<std::string> readFile(const std::string &Path);

/// @return The text without the line ends behind it.
std::string withoutLineEnd(std::string Text);

/// Logs that a port is open. @param What Whom it is for.
void logListening(const char *What, const std::string &Address);

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_ENTRY_FILE_FUNC_H
