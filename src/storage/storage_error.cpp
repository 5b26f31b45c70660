/** @file storage_error.cpp Storage errors for people. */
#include "storage/storage_type.h"

#include <cstring>

namespace pollenstall {

std::string toText(const storage_error &Error) {
  return std::visit(
      overloaded{[](const folder_in_use &E) {
                   return "data folder in use by another process: " + E.Folder.string();
                 },
                 [](const foreign_folder &E) {
                   return "data folder belongs to fleet " + E.Found.Fleet + ", member " +
                          std::to_string(E.Found.Key.Member.value());
                 },
                 [](const file_failure &E) {
                   return E.Operation + " failed on " + E.Path.string() + ": " +
                          std::strerror(E.Errno);
                 },
                 [](const disk_full &E) { return "no space left for " + E.Path.string(); },
                 [](const corrupt_file &E) {
                   return E.Path.string() + " is damaged at offset " + std::to_string(E.Offset) +
                          ": " + E.Reason;
                 }},
      Error);
}

} // namespace pollenstall
