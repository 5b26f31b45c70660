/** @file temp_folder_base.h A temporary folder that its object removes. */
#ifndef POLLENSTALL_SUPPORT_TEMP_FOLDER_BASE_H
#define POLLENSTALL_SUPPORT_TEMP_FOLDER_BASE_H

#include <string>

namespace pollenstall {

/// A new folder under the temporary directory of the system; the destructor removes it.
class temp_folder {
public:
  temp_folder();
  ~temp_folder();
  temp_folder(const temp_folder &) = delete;
  temp_folder &operator=(const temp_folder &) = delete;

  /// @return The path of the folder, without a trailing slash.
  [[nodiscard]] const std::string &path() const { return Path; }
  /// @return The path of an entry in the folder, which need not exist.
  [[nodiscard]] std::string path(const std::string &Name) const { return Path + "/" + Name; }
  /// Writes a file. @return Its path.
  [[nodiscard]] std::string write(const std::string &Name, const std::string &Text) const;

private:
  std::string Path;
};

/// @return The content of a file; empty if the file does not exist.
std::string readFile(const std::string &Path);

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_TEMP_FOLDER_BASE_H
