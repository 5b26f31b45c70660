/** @file backend_exchange_evacuation.cpp Attempts while failure domains are evacuated. */
#include "relay/backend_exchange_base.h"

#include "relay/call_error_func.h"

#include <algorithm>

namespace pollenstall {

template <typename Check> bool backend_exchange::anyServer(Check &&Matches) const {
  const auto HolderMatches = [&](const memory_hold &Hold) { return Matches(Hold.Backend); };
  return Matches(Order.Backend) ||
         std::any_of(Order.Helpers.begin(), Order.Helpers.end(), Matches) ||
         std::any_of(Order.Holds.begin(), Order.Holds.end(), HolderMatches);
}

bool backend_exchange::serversAllowRequest() const {
  return !anyServer(
      [this](const backend_key &Server) { return !Context.allowsNewRequest(Server); });
}

bool backend_exchange::stopsForEvacuation() {
  if (serversAllowRequest())
    return false;
  Context.Metrics.countEvacuated();
  return true;
}

bool backend_exchange::runsInEvacuatedDomain() const {
  return Begun && !Ended && !Abandoned &&
         anyServer([this](const backend_key &Server) { return Context.isEvacuated(Server); });
}

/// A connection to a domain that was evacuated because of a fault may only fail at its timeout; the
/// caller should not wait for that.
void backend_exchange::giveUpIfEvacuated() {
  if (Begun || Ended || Abandoned || !stopsForEvacuation())
    return;
  Context.Metrics.countAttemptEnd(std::string(attemptFailureText(attempt_failure::NotWanted)));
  Context.Outbox.push(attempt_failed{Order.Attempt, attempt_failure::NotWanted});
  abandon();
}

} // namespace pollenstall
