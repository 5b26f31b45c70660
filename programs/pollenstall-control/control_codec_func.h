/** @file control_codec_func.h Commands and snapshots of the control state as bytes. */
#ifndef POLLENSTALL_CONTROL_CONTROL_CODEC_FUNC_H
#define POLLENSTALL_CONTROL_CONTROL_CODEC_FUNC_H

#include "control_state/control_state.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// Versions of a command's bytes in the log.
enum class command_version : std::uint16_t {
  Initial = 1,
  Backends = 2, ///< Of update_backends alone.
  Packed = 3,   ///< Of commands with a declaration: a packed_text of the command.
  Suspects = 4, ///< Of record_crash and clear_suspect alone.
};
/// Versions of a snapshot's bytes.
enum class state_version : std::uint16_t { Initial = 1, Backends = 2, Suspects = 3 };

/// Why bytes of the log cannot be carried out. Skipping them would part this member's state from
/// the others', so the process must stop.
enum class control_codec_error : std::uint8_t {
  OtherVersion,   ///< Written by a newer program.
  Malformed,      ///< No command or state of that version.
  InvalidContent, ///< Decoded, but breaks a rule of the state.
};

std::string encodeCommand(const control_command &Command);
result<control_command, control_codec_error> decodeCommand(std::string_view Bytes);

std::string encodeState(const control_state &State);
result<control_state, control_codec_error> decodeState(std::string_view Bytes,
                                                       const control_limits &Limits);

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_CODEC_FUNC_H
