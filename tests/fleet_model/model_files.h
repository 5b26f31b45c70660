/** @file model_files.h Load files of the examples. */
#ifndef POLLENSTALL_TESTS_FLEET_MODEL_MODEL_FILES_H
#define POLLENSTALL_TESTS_FLEET_MODEL_MODEL_FILES_H

#include "fleet_model/fleet_model.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

namespace pollenstall {

inline std::string fileText(const std::string &Path) {
  std::ifstream Input(std::string(POLLENSTALL_SOURCE_DIR) + "/" + Path);
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

/// Returns the load of a file, which must be valid.
inline model_load loadOf(const std::string &Path) {
  auto Parsed = parseModelLoad(fileText(Path));
  EXPECT_TRUE(succeeded(Parsed)) << Path;
  return succeeded(Parsed) ? valueOf(std::move(Parsed)) : model_load();
}

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_FLEET_MODEL_MODEL_FILES_H
