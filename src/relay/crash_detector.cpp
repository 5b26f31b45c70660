/** @file crash_detector.cpp Probes a server after its connections broke. */
#include "relay/crash_detector_base.h"

#include "relay/request_fingerprint_func.h"
#include "relay/rethrow_func.h"

#include <boost/asio/co_spawn.hpp>

#include <set>

namespace pollenstall {

namespace asio = boost::asio;

void crash_detector::onBrokenConnection(const backend_key &Backend,
                                        std::shared_ptr<relayed_call> Call) {
  if (!ReportCrash || !Call->Request.Body)
    return;
  const auto [Entry, Added] = BrokenCalls.try_emplace(Backend);
  std::shared_ptr<const request_body> Body = Call->Request.Body;
  Entry->second.push_back({std::move(Call), std::move(Body)});
  if (Added)
    asio::co_spawn(
        Io, [this, Backend] { return probe(Backend); }, rethrow);
}

asio::awaitable<void> crash_detector::probe(backend_key Backend) {
  const bool Ended = co_await Pool.connector().refusesConnections(Backend);
  const auto Calls = std::move(BrokenCalls.extract(Backend).mapped());
  if (!Ended)
    co_return;
  std::set<request_fingerprint> Fingerprints;
  for (const broken_call &BrokenCall : Calls)
    Fingerprints.insert(requestFingerprint(*BrokenCall.Call, *BrokenCall.Body));
  ReportCrash({Backend, {Fingerprints.begin(), Fingerprints.end()}});
}

} // namespace pollenstall
