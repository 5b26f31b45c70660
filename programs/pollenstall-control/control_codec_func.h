/** @file control_codec_func.h Encodes and decodes commands and snapshots of the control state. */
#ifndef POLLENSTALL_CONTROL_CONTROL_CODEC_FUNC_H
#define POLLENSTALL_CONTROL_CONTROL_CODEC_FUNC_H

#include "control_state/control_state.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// Versions of a command's encoding in the log.
enum class command_version : std::uint16_t {
  Initial = 1,
  Backends = 2, ///< Used for update_backends only.
  Packed = 3,   ///< Used for commands with a declaration: a packed_text of the command.
  Suspects = 4, ///< Used for record_crash and clear_suspect only.
  /// Used for record_suspect_run, and for record_crash with parts of prompts.
  PromptParts = 5,
  Evacuations = 6, ///< Used for set_evacuation only.
};
/// Versions of a snapshot's encoding.
enum class state_version : std::uint16_t {
  Initial = 1,
  Backends = 2,
  Suspects = 3,
  PromptParts = 4,
  Evacuations = 5 ///< Used once a failure domain was evacuated, so that an older program can read
                  ///< snapshots until then.
};

/// Why an entry of the log cannot be applied. If it were skipped, this member's state would diverge
/// from the others', so the process must stop.
enum class control_codec_error : std::uint8_t {
  OtherVersion,   ///< Written by a newer program.
  Malformed,      ///< Not a valid command or state of its version.
  InvalidContent, ///< Decoded, but violates an invariant of the state.
};

std::string encodeCommand(const control_command &Command);
result<control_command, control_codec_error> decodeCommand(std::string_view Bytes);

std::string encodeState(const control_state &State);
result<control_state, control_codec_error> decodeState(std::string_view Bytes,
                                                       const control_limits &Limits);

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_CODEC_FUNC_H
