/** @file claim_cmd.cpp Commands on the claim table: check() without effect, then execute(). */
#include "claim/claim_base.h"

namespace pollenstall {

namespace {

/// Claims that one command removes at most; more would delay the other commands of the log.
constexpr std::size_t MaxExpiredPerCommand = 10'000;

claim_status verdictFor(const claim_record &Record, const claim_holder &Requester) {
  if (Record.State == claim_state::Complete)
    return claim_status::Complete;
  const bool SameHolder = Record.Holder == Requester;
  if (SameHolder && Record.State == claim_state::Running)
    return claim_status::Granted;
  // Another request holds the key, or this one holds it and its outcome is unknown. The work may
  // have run, so it must not run again; the verdict Running stands for both cases.
  return claim_status::Running;
}

bool isValidTransition(claim_state From, claim_state To) {
  if (From == claim_state::Running)
    return true;
  // The backend server's complete answer may still arrive after Unknown was recorded and the caller
  // got the outcome "unknown".
  return From == claim_state::Unknown && To == claim_state::Complete;
}

} // namespace

result<claim_status, claim_error> claim_table::check(const claim_acquire &Command) const {
  const claim_record *Found = findRecord(Command.Key);
  if (Found != nullptr && Found->State != claim_state::Released)
    return verdictFor(*Found, Command.Holder);
  // This acquire arrives after its own release. Granting it would block the key with no holder.
  if (Found != nullptr && Found->Holder == Command.Holder)
    return claim_error::AlreadyReleased;
  if (Command.ExpiresAt <= LastExpireTime)
    return claim_error::AlreadyExpired;
  if (Found == nullptr && !hasRoom())
    return claim_error::TableFull;
  return claim_status::Granted;
}

result<done, claim_error> claim_table::check(const claim_settle &Command) const {
  if (Command.State == claim_state::Running)
    return claim_error::InvalidState;
  const claim_record *Found = findRecord(Command.Key);
  if (Found == nullptr) {
    if (Command.State != claim_state::Released)
      return claim_error::NotHolder;
    if (Command.ExpiresAt <= LastExpireTime)
      return claim_error::AlreadyExpired;
    return hasRoom() ? result<done, claim_error>(done{}) : claim_error::TableFull;
  }
  if (Found->Holder != Command.Holder)
    return claim_error::NotHolder;
  if (Found->State == Command.State || isValidTransition(Found->State, Command.State))
    return done{};
  return claim_error::AlreadySettled;
}

result<done, claim_error> claim_table::check(const claim_expire &Command) const {
  if (Command.Now < LastExpireTime)
    return claim_error::TimeWentBackwards;
  return done{};
}

result<claim_status, claim_error> claim_table::execute(const claim_acquire &Command) {
  auto Checked = check(Command);
  const claim_record *Found = findRecord(Command.Key);
  const bool Claimed = Found != nullptr && Found->State != claim_state::Released;
  if (!succeeded(Checked) || Claimed)
    return Checked;
  requireInvariant(valueOf(Checked) == claim_status::Granted,
                   "a new claim is granted only on a free key");
  erase(Command.Key);
  evictReleasedIfFull();
  insert({Command.Key, Command.Holder, claim_state::Running, Command.ExpiresAt});
  requireConsistent();
  return Checked;
}

result<done, claim_error> claim_table::execute(const claim_settle &Command) {
  auto Checked = check(Command);
  if (!succeeded(Checked))
    return Checked;
  const claim_record *Found = findRecord(Command.Key);
  const unix_millis ExpiresAt = Found != nullptr ? Found->ExpiresAt : Command.ExpiresAt;
  erase(Command.Key);
  evictReleasedIfFull();
  insert({Command.Key, Command.Holder, Command.State, ExpiresAt});
  requireConsistent();
  return Checked;
}

result<done, claim_error> claim_table::execute(const claim_expire &Command) {
  auto Checked = check(Command);
  if (!succeeded(Checked))
    return Checked;
  LastExpireTime = Command.Now;
  for (std::size_t Remaining = MaxExpiredPerCommand; Remaining > 0 && !ByExpiry.empty();
       --Remaining) {
    if (ByExpiry.begin()->first > LastExpireTime)
      break;
    erase(ByExpiry.begin()->second);
  }
  requireConsistent();
  return Checked;
}

} // namespace pollenstall
