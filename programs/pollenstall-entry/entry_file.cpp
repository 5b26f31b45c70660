/** @file entry_file.cpp Reads small files into memory. */
#include "entry_file_func.h"

#include <fstream>
#include <iterator>

namespace pollenstall {

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(File), {});
}

std::string trimLineEndings(std::string Text) {
  while (!Text.empty() && (Text.back() == '\n' || Text.back() == '\r'))
    Text.pop_back();
  return Text;
}

} // namespace pollenstall
