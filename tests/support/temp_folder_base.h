/** @file temp_folder_base.h A folder that lives as long as its object. */
#ifndef POLLENSTALL_SUPPORT_TEMP_FOLDER_BASE_H
#define POLLENSTALL_SUPPORT_TEMP_FOLDER_BASE_H

#include <string>

namespace pollenstall {

/// A fresh folder under the system's folder for temporary files, removed at the end.
class temp_folder {
public:
  temp_folder();
  ~temp_folder();
  temp_folder(const temp_folder &) = delete;
  temp_folder &operator=(const temp_folder &) = delete;

  /// @return The folder, without a slash at its end.
  [[nodiscard]] const std::string &path() const { return Path; }
  /// @return The path of a file or folder in it, which need not exist.
  [[nodiscard]] std::string path(const std::string &Name) const { return Path + "/" + Name; }
  /// Writes a file. @return Its path.
  [[nodiscard]] std::string write(const std::string &Name, const std::string &Text) const;

private:
  std::string Path;
};

/// @return What a file holds; empty where there is none.
std::string readFile(const std::string &Path);

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_TEMP_FOLDER_BASE_H
