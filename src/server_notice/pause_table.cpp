/** @file pause_table.cpp The backend servers that have asked this entry for a pause. */
#include "server_notice/pause_table_base.h"

#include <algorithm>

namespace pollenstall {

mono_time pause_table::record(const backend_key &Backend, std::chrono::milliseconds Pause,
                              mono_time Now) {
  std::erase_if(Ends, [Now](const auto &Item) { return Item.second <= Now; });
  mono_time &End = Ends[Backend];
  return End = std::max(End, Now + Pause);
}

std::optional<mono_time> pause_table::pausedUntil(const backend_key &Backend, mono_time Now) const {
  const auto Found = Ends.find(Backend);
  return Found == Ends.end() || Found->second <= Now ? std::nullopt : std::optional(Found->second);
}

std::size_t pause_table::count(mono_time Now) const {
  return static_cast<std::size_t>(std::count_if(
      Ends.begin(), Ends.end(), [Now](const auto &Item) { return Item.second > Now; }));
}

} // namespace pollenstall
