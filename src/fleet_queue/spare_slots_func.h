/** @file spare_slots_func.h Slots that stay free for requests that other entries place unseen. */
#ifndef POLLENSTALL_FLEET_QUEUE_SPARE_SLOTS_FUNC_H
#define POLLENSTALL_FLEET_QUEUE_SPARE_SLOTS_FUNC_H

#include <cstdint>
#include <vector>

namespace pollenstall {

/**
 * Returns how many slots of an engine stay free. Others may place that many requests there before
 * this entry hears of it, in all but two of a hundred cases.
 * @param UnseenPerEngine Expected number of such requests.
 */
std::uint32_t unseenSlots(double UnseenPerEngine);

/**
 * Returns how many slots of each engine stay free if requests wait: at most MaxSpare, and no more
 * than leaves a slot for each of them.
 * @param FreeSlots Free slots of each engine.
 * @param Wanted Requests that wait or are about to be placed by others.
 */
std::uint32_t spareSlots(const std::vector<std::uint32_t> &FreeSlots, double Wanted,
                         std::uint32_t MaxSpare);

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_QUEUE_SPARE_SLOTS_FUNC_H
