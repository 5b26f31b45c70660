/** @file cache_event_log.cpp A bounded log of cache events. */
#include "fake_backend/cache_event_log_base.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {
constexpr std::size_t EventsKept = 4096;
} // namespace

void cache_event_log::add(const prefix_cache::changes &Changes, mono_time Now) {
  addOne("stored", Changes.Stored, Now);
  addOne("removed", Changes.Removed, Now);
}

void cache_event_log::addOne(const char *Kind, const std::vector<std::uint64_t> &Hashes,
                             mono_time Now) {
  if (Hashes.empty())
    return;
  ++Last;
  if (Random.chance(Loss))
    return;
  boost::json::array List(Hashes.begin(), Hashes.end());
  Entries.push_back({Last, Now + Lag, boost::json::serialize(boost::json::object{{Kind, List}})});
  if (Entries.size() > EventsKept)
    Entries.pop_front();
}

std::uint64_t cache_event_log::read(std::string &Out, std::uint64_t After, mono_time Now) const {
  for (const entry &Entry : Entries) {
    if (Entry.Number <= After)
      continue;
    if (Entry.VisibleAt > Now)
      break;
    Out += "id: " + std::to_string(Entry.Number) + "\ndata: " + Entry.Json + "\n\n";
    After = Entry.Number;
  }
  return After;
}

} // namespace pollenstall
