/** @file send_pace_base.h How many declarations are on their way to entries at once. */
#ifndef POLLENSTALL_CONTROL_SEND_PACE_BASE_H
#define POLLENSTALL_CONTROL_SEND_PACE_BASE_H

#include "core/core.h"
#include "entry_hub_base.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace pollenstall {

/**
 * Texts for all entries leave by the link that also carries heartbeats and leases. Sent all at once
 * they hold those back until followers stand for election, and each of them is whole only when all
 * are. So few are on their way at once, and the next goes out when one has arrived: the first
 * entries act on a change while the last still wait for it, and a heartbeat finds the link free.
 */
class send_pace {
public:
  /// @param Most Bytes on their way, beyond which none begins; one begins where nothing is.
  explicit send_pace(std::size_t Most) : MostBytes(Most) {}

  [[nodiscard]] bool hasRoom() const { return Bytes < MostBytes; }

  void began(connection_number To, std::size_t Size, mono_time Now) {
    ended(To);
    UnderWay.emplace(To, text_under_way{Size, Now});
    Bytes += Size;
  }

  /// It has arrived, or the connection is gone.
  void ended(connection_number To) {
    const auto Found = UnderWay.find(To);
    if (Found == UnderWay.end())
      return;
    Bytes -= Found->second.Size;
    UnderWay.erase(Found);
  }

  /// An entry that is frozen or cut off does not keep others waiting: what it does not take stands
  /// in its connection's own buffers, not on the link.
  void endOverdue(mono_time Now) {
    std::erase_if(UnderWay, [&](const auto &Item) {
      const bool Overdue = Now - Item.second.Since >= TextLimit;
      Bytes -= Overdue ? Item.second.Size : 0;
      return Overdue;
    });
  }

  void clear() {
    UnderWay.clear();
    Bytes = 0;
  }

private:
  /// Several times what a packed text of 3,000 routes takes to an entry of 20 Mbit/s.
  static constexpr std::chrono::milliseconds TextLimit{500};

  struct text_under_way {
    std::size_t Size{0};
    mono_time Since;
  };

  std::size_t MostBytes;
  std::size_t Bytes{0};
  std::map<connection_number, text_under_way> UnderWay;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_SEND_PACE_BASE_H
