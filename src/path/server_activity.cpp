/** @file server_activity.cpp Compares the silence of a backend server with the other servers. */
#include "path/server_activity_base.h"

namespace pollenstall {

namespace {

/// A pass of an engine with a long prefill takes up to this long, and sends nothing meanwhile.
constexpr std::chrono::milliseconds LongestPass{500};
/// Fewer silent servers may each be in a long pass.
constexpr std::size_t MinWitnesses = 2;
/// A shared silence is waited for up to this many times the limit of one server's silence.
constexpr int SharedSilenceFactor = 2;

} // namespace

void server_activity::beginAnswer(const backend_key &Server, mono_time Now) {
  ++Answering[Server];
  recordBytes(Server, Now);
}

void server_activity::endAnswer(const backend_key &Server) {
  const auto Found = Answering.find(Server);
  if (Found != Answering.end() && --Found->second == 0)
    Answering.erase(Found);
}

void server_activity::recordBytes(const backend_key &Server, mono_time Now) {
  if (Latest && Latest->Server != Server)
    LatestOfOthers = Latest;
  if (Latest && Latest->Server == Server)
    Latest->Time = Now;
  else
    Latest = {Server, Now};
}

bool server_activity::isShared(const backend_key &Server, mono_duration Silence,
                               mono_duration Limit, mono_time Now) const {
  return Silence < Limit * SharedSilenceFactor && othersAreSilent(Server, Now);
}

bool server_activity::othersAreSilent(const backend_key &Server, mono_time Now) const {
  const std::size_t Witnesses = Answering.size() - Answering.count(Server);
  if (Witnesses < MinWitnesses)
    return false;
  const std::optional<last_bytes> &Other =
      Latest && Latest->Server == Server ? LatestOfOthers : Latest;
  return !Other || Now - Other->Time > LongestPass;
}

} // namespace pollenstall
