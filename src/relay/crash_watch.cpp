/** @file crash_watch.cpp One connection to a server whose connections broke. */
#include "relay/crash_watch_base.h"

#include "relay/request_mark_func.h"
#include "relay/rethrow_func.h"

#include <boost/asio/co_spawn.hpp>

#include <set>

namespace pollenstall {

namespace asio = boost::asio;

void crash_watch::noteBroken(const backend_key &Backend, std::shared_ptr<relayed_call> Call) {
  if (!Tell || !Call->Request.Body)
    return;
  const auto [Place, Added] = Broken.try_emplace(Backend);
  std::shared_ptr<const held_body> Body = Call->Request.Body;
  Place->second.push_back({std::move(Call), std::move(Body)});
  if (Added)
    asio::co_spawn(
        Io, [this, Backend] { return probe(Backend); }, rethrow);
}

asio::awaitable<void> crash_watch::probe(backend_key Backend) {
  const bool Ended = co_await Links.refusesConnections(Backend);
  const auto Calls = std::move(Broken.extract(Backend).mapped());
  if (!Ended)
    co_return;
  std::set<request_fingerprint> Marks;
  for (const broken_call &One : Calls)
    Marks.insert(requestMark(*One.Call, *One.Body));
  Tell({Backend, {Marks.begin(), Marks.end()}});
}

} // namespace pollenstall
