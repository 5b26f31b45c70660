/** @file abandoned_tracker.cpp Abandoned attempts and the backoff of their cancels. */
#include "dispatch/abandoned_tracker_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace {

constexpr mono_duration InitialBackoff = std::chrono::milliseconds(250);
constexpr mono_duration MaxBackoff = std::chrono::seconds(10);
/// Enough doublings to reach the maximum backoff; the limit keeps the shift from overflowing.
constexpr std::uint32_t MaxDoublings = 6;
/// How long after an attempt was abandoned a slow backend server may still start it: bytes of the
/// closed connection may still arrive there.
constexpr mono_duration LateStartWindow = std::chrono::seconds(15);

} // namespace

bool abandoned_attempt::canNoLongerStart(mono_time Now) const {
  return isMidAnswer(ReachedState) || Now - AbandonedAt >= LateStartWindow;
}

void abandoned_tracker::add(abandoned_attempt Attempt, mono_time Now) {
  requireInvariant(Attempt.Lifecycle.state() == attempt_state::Cancelling,
                   "an abandoned attempt is in state Cancelling");
  const attempt_id Id = Attempt.Attempt;
  const bool Added = Attempts.emplace(Id, std::move(Attempt)).second;
  requireInvariant(Added, "an attempt is abandoned once");
  Cancels.set(Id, Now);
}

abandoned_attempt *abandoned_tracker::find(const attempt_id &Attempt) {
  const auto Found = Attempts.find(Attempt);
  return Found == Attempts.end() ? nullptr : &Found->second;
}

abandoned_attempt abandoned_tracker::remove(const attempt_id &Attempt) {
  const auto Found = Attempts.find(Attempt);
  requireInvariant(Found != Attempts.end() && isFinal(Found->second.Lifecycle.state()),
                   "an abandoned attempt is removed only in a final state");
  abandoned_attempt Removed = std::move(Found->second);
  Attempts.erase(Found);
  Cancels.erase(Attempt);
  return Removed;
}

std::optional<cancel_attempt> abandoned_tracker::popDueCancel(mono_time Now) {
  const std::optional<attempt_id> Due = Cancels.popDue(Now);
  if (!Due)
    return std::nullopt;
  abandoned_attempt &Attempt = Attempts.at(*Due);
  ++Attempt.CancelsSent;
  Cancels.set(*Due, Now + backoffAfter(Attempt.CancelsSent));
  return cancel_attempt{Attempt.Attempt, Attempt.Backend};
}

mono_duration abandoned_tracker::backoffAfter(std::uint32_t CancelsSent) {
  const std::uint32_t Doublings = std::min(CancelsSent - 1, MaxDoublings);
  const mono_duration Backoff =
      std::min(InitialBackoff * (std::int64_t{1} << Doublings), MaxBackoff);
  // Jitter over half of the backoff, so that the cancels to one broken engine are not sent in
  // bursts.
  return Backoff - mono_duration(Random.below(static_cast<std::uint64_t>(Backoff.count()) / 2));
}

std::vector<attempt_id> abandoned_tracker::attemptsOn(const backend_key &Backend) const {
  std::vector<attempt_id> Ids;
  for (const auto &[Id, Attempt] : Attempts)
    if (Attempt.Backend == Backend)
      Ids.push_back(Id);
  return Ids;
}

std::vector<abandoned_dump> abandoned_tracker::dump(mono_time Now) const {
  std::vector<abandoned_dump> Dump;
  for (const auto &[Id, Attempt] : Attempts)
    Dump.push_back(
        {Id, Attempt.Backend, Attempt.CancelsSent,
         std::chrono::duration_cast<std::chrono::milliseconds>(Now - Attempt.AbandonedAt)});
  return Dump;
}

} // namespace pollenstall
