/** @file program_type.h Exit codes and the description that every binary starts from. */
#ifndef POLLENSTALL_PROGRAM_PROGRAM_TYPE_H
#define POLLENSTALL_PROGRAM_PROGRAM_TYPE_H

#include <cstdint>
#include <string>

namespace pollenstall {

/// Exit codes that all binaries share; docs/OPERATING.md lists them.
enum class exit_code : std::uint8_t {
  Ok = 0,           ///< Stopped as asked, or the check passed.
  Failure = 1,      ///< Could not start or go on; the log says why.
  BadUsage = 2,     ///< Command line or settings are wrong.
  ShutdownLimit = 3 ///< Stopped as asked, but work was still running at the shutdown limit.
};

/// What a binary says of itself.
struct program_description {
  std::string Name;
  std::string Summary; ///< One sentence for --help.
};

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_PROGRAM_TYPE_H
