/** @file temp_folder.cpp Creates temporary folders with mkdtemp. */
#include "core/core.h"
#include "support/temp_folder_base.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace pollenstall {

temp_folder::temp_folder()
    : Path((std::filesystem::temp_directory_path() / "pollenstall-XXXXXX").string()) {
  requireInvariant(mkdtemp(Path.data()) != nullptr, "the temporary folder can be created");
}

temp_folder::~temp_folder() {
  std::error_code Ignored;
  std::filesystem::remove_all(Path, Ignored);
}

std::string temp_folder::write(const std::string &Name, const std::string &Text) const {
  std::ofstream(path(Name), std::ios::binary) << Text;
  return path(Name);
}

std::string readFile(const std::string &Path) {
  const std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace pollenstall
