/** @file cache_event_log.cpp Bounded log of cache events. */
#include "fake_backend/cache_event_log_base.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {
constexpr std::size_t MaxEvents = 4096;
} // namespace

void cache_event_log::add(const prefix_cache::changes &Changes, mono_time Now) {
  addEvent("stored", Changes.Stored, Now);
  addEvent("removed", Changes.Removed, Now);
}

void cache_event_log::addEvent(const char *Kind, const std::vector<std::uint64_t> &Hashes,
                               mono_time Now) {
  if (Hashes.empty())
    return;
  ++LastNumber;
  if (Random.chance(LossProbability))
    return;
  boost::json::array List(Hashes.begin(), Hashes.end());
  Events.push_back(
      {LastNumber, Now + VisibilityLag, boost::json::serialize(boost::json::object{{Kind, List}})});
  if (Events.size() > MaxEvents)
    Events.pop_front();
}

std::uint64_t cache_event_log::read(std::string &Out, std::uint64_t After, mono_time Now) const {
  for (const event &Event : Events) {
    if (Event.Number <= After)
      continue;
    if (Event.VisibleAt > Now)
      break;
    Out += "id: " + std::to_string(Event.Number) + "\ndata: " + Event.Json + "\n\n";
    After = Event.Number;
  }
  return After;
}

} // namespace pollenstall
