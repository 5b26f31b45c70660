/** @file pause_statement.cpp Reads pauses from header values. */
#include "server_notice/pause_statement_func.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

pause_statement parsePause(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  Text.remove_prefix(std::min(Text.find_first_not_of(Blanks), Text.size()));
  Text = Text.substr(0, Text.find_last_not_of(Blanks) + 1);
  const bool IsDecimal = std::all_of(Text.begin(), Text.end(), [](char Character) {
    return Character == '.' || (Character >= '0' && Character <= '9');
  });
  const auto Seconds = IsDecimal ? parseNumber<double>(Text) : std::nullopt;
  if (!Seconds)
    return unreadable_pause{};
  const std::chrono::duration<double> Pause =
      std::min(std::chrono::duration<double>(*Seconds), std::chrono::duration<double>(MaxPause));
  const auto Millis = std::chrono::ceil<std::chrono::milliseconds>(Pause);
  if (Millis.count() == 0)
    return no_pause{};
  return Millis;
}

} // namespace pollenstall
