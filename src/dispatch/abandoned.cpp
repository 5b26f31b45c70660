/** @file abandoned.cpp The ledger of abandoned attempts and the back-off of their cancels. */
#include "dispatch/abandoned_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace {

constexpr mono_duration FirstPause = std::chrono::milliseconds(250);
constexpr mono_duration LongestPause = std::chrono::seconds(10);
/// Doublings that reach the longest pause; more would overflow the shift.
constexpr std::uint32_t MostDoublings = 6;
/// How long the bytes of a closed connection may still reach a slow backend server.
constexpr mono_duration LateStartWindow = std::chrono::seconds(15);

} // namespace

bool abandoned_attempt::startIsOver(mono_time Now) const {
  return hasAnswered(GivenUpIn) || Now - Since >= LateStartWindow;
}

void abandoned_ledger::add(abandoned_attempt Attempt, mono_time Now) {
  requireInvariant(Attempt.Lifecycle.state() == attempt_state::Cancelling,
                   "an attempt in the ledger is being cancelled");
  const attempt_id Id = Attempt.Attempt;
  const bool Added = Attempts.emplace(Id, std::move(Attempt)).second;
  requireInvariant(Added, "an attempt is abandoned once");
  Cancels.set(Id, Now);
}

abandoned_attempt *abandoned_ledger::find(const attempt_id &Attempt) {
  const auto Found = Attempts.find(Attempt);
  return Found == Attempts.end() ? nullptr : &Found->second;
}

abandoned_attempt abandoned_ledger::take(const attempt_id &Attempt) {
  const auto Found = Attempts.find(Attempt);
  requireInvariant(Found != Attempts.end() && isFinal(Found->second.Lifecycle.state()),
                   "an attempt leaves the ledger only when its end is sure");
  abandoned_attempt Taken = std::move(Found->second);
  Attempts.erase(Found);
  Cancels.erase(Attempt);
  return Taken;
}

std::optional<cancel_attempt> abandoned_ledger::takeDueCancel(mono_time Now) {
  const std::optional<attempt_id> Due = Cancels.takeDue(Now);
  if (!Due)
    return std::nullopt;
  abandoned_attempt &Attempt = Attempts.at(*Due);
  ++Attempt.CancelsSent;
  Cancels.set(*Due, Now + pauseAfter(Attempt.CancelsSent));
  return cancel_attempt{Attempt.Attempt, Attempt.Backend};
}

mono_duration abandoned_ledger::pauseAfter(std::uint32_t CancelsSent) {
  const std::uint32_t Doublings = std::min(CancelsSent - 1, MostDoublings);
  const mono_duration Pause = std::min(FirstPause * (std::int64_t{1} << Doublings), LongestPause);
  // Spread over half the pause, so that the cancels of one broken engine do not come in bursts.
  return Pause - mono_duration(Random.below(static_cast<std::uint64_t>(Pause.count()) / 2));
}

std::vector<attempt_id> abandoned_ledger::onBackend(const backend_key &Backend) const {
  std::vector<attempt_id> Found;
  for (const auto &[Id, Attempt] : Attempts)
    if (Attempt.Backend == Backend)
      Found.push_back(Id);
  return Found;
}

std::vector<abandoned_dump> abandoned_ledger::dump(mono_time Now) const {
  std::vector<abandoned_dump> Dump;
  for (const auto &[Id, Attempt] : Attempts)
    Dump.push_back({Id, Attempt.Backend, Attempt.CancelsSent,
                    std::chrono::duration_cast<std::chrono::milliseconds>(Now - Attempt.Since)});
  return Dump;
}

} // namespace pollenstall
