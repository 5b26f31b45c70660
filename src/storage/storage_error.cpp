/** @file storage_error.cpp Error messages of storage errors. */
#include "storage/storage_type.h"

#include <cstring>

namespace pollenstall {

std::string toText(const storage_error &Error) {
  return std::visit(
      overloaded{
          [](const folder_in_use &Failure) {
            return "data folder in use by another process: " + Failure.Folder.string();
          },
          [](const foreign_folder &Failure) {
            return "data folder belongs to fleet " + Failure.Found.Fleet + ", member " +
                   std::to_string(Failure.Found.Key.Member.value());
          },
          [](const file_failure &Failure) {
            return Failure.Operation + " failed on " + Failure.Path.string() + ": " +
                   std::strerror(Failure.Errno);
          },
          [](const disk_full &Failure) { return "no space left for " + Failure.Path.string(); },
          [](const corrupt_file &Failure) {
            return Failure.Path.string() + " is corrupt at offset " +
                   std::to_string(Failure.Offset) + ": " + Failure.Reason;
          }},
      Error);
}

} // namespace pollenstall
