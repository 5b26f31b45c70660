/** @file crash_detector.cpp Probes a server after its connections broke. */
#include "relay/crash_detector_base.h"

#include "relay/request_fingerprint_func.h"
#include "relay/rethrow_func.h"

#include <boost/asio/co_spawn.hpp>

#include <set>

namespace pollenstall {

namespace asio = boost::asio;

void crash_detector::onBrokenConnection(const backend_key &Backend,
                                        std::shared_ptr<relayed_call> Call, bool Begun) {
  if (!ReportCrash || !Call->Request.Body)
    return;
  const auto [Entry, Added] = BrokenCalls.try_emplace(Backend);
  std::shared_ptr<const request_body> Body = Call->Request.Body;
  Entry->second.push_back({std::move(Call), std::move(Body), Begun});
  if (Added)
    asio::co_spawn(
        Io, [this, Backend] { return probe(Backend); }, rethrow);
}

void crash_detector::onRunBegun(const relayed_call &Call, const suspect_list &Suspects) {
  if (!ReportCrash || Call.SharedParts.empty())
    return;
  const mono_time Now = boot_clock::now();
  for (const request_fingerprint &Part : promptPartFingerprints(Call)) {
    History.recordRunBegun(Part, Now);
    if (ReportRun && Suspects.contains(Part))
      ReportRun({Part});
  }
}

asio::awaitable<void> crash_detector::probe(backend_key Backend) {
  const bool Ended = co_await Pool.connector().refusesConnections(Backend);
  const auto Calls = std::move(BrokenCalls.extract(Backend).mapped());
  if (!Ended)
    co_return;
  std::set<request_fingerprint> Fingerprints;
  std::set<request_fingerprint> Parts;
  for (const broken_call &BrokenCall : Calls) {
    Fingerprints.insert(requestFingerprint(*BrokenCall.Call, *BrokenCall.Body));
    // A part that crashes the server does so before the answer begins.
    if (!BrokenCall.Begun)
      for (const request_fingerprint &Part : promptPartFingerprints(*BrokenCall.Call))
        Parts.insert(Part);
  }
  const mono_time Now = boot_clock::now();
  for (const request_fingerprint &Part : Parts)
    if (History.recordCrash(Part, Now))
      Fingerprints.insert(Part);
  ReportCrash({Backend, {Fingerprints.begin(), Fingerprints.end()}});
}

} // namespace pollenstall
