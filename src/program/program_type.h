/** @file program_type.h Exit codes and the description of a binary. */
#ifndef POLLENSTALL_PROGRAM_PROGRAM_TYPE_H
#define POLLENSTALL_PROGRAM_PROGRAM_TYPE_H

#include <cstdint>
#include <string>

namespace pollenstall {

/// Exit codes of all binaries; docs/OPERATING.md lists them.
enum class exit_code : std::uint8_t {
  Ok = 0,           ///< Stopped on request, or the check passed.
  Failure = 1,      ///< Could not start or continue; the log has the reason.
  BadUsage = 2,     ///< Command line or settings are invalid.
  ShutdownLimit = 3 ///< Stopped on request, but work was still running at the shutdown limit.
};

/// Name and summary of a binary.
struct program_description {
  std::string Name;
  std::string Summary; ///< One sentence for --help.
};

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_PROGRAM_TYPE_H
