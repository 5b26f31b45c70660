/** @file claim_cmd.cpp The commands on the table of claims: check without effect, then execute. */
#include "claim/claim_base.h"

namespace pollenstall {

namespace {

/// Claims forgotten by one command; more at once would hold up the log's other commands.
constexpr std::size_t MostExpiredAtOnce = 10'000;

claim_status verdictFor(const claim_record &Record, const claim_holder &Asking) {
  if (Record.Standing == claim_state::Complete)
    return claim_status::Complete;
  const bool Same = Record.Holder == Asking;
  if (Same && Record.Standing == claim_state::Running)
    return claim_status::Granted;
  // Another send's work, or this one's with an unknown end: it may have run, so it never runs
  // again.
  return claim_status::Running;
}

bool mayBecome(claim_state From, claim_state Next) {
  if (From == claim_state::Running)
    return true;
  // The whole answer may arrive after the caller was told "unknown"; then the standing gets better.
  return From == claim_state::Unknown && Next == claim_state::Complete;
}

} // namespace

result<claim_status, claim_error> claim_table::check(const claim_acquire &Command) const {
  const claim_record *Found = lookUp(Command.Key);
  if (Found != nullptr && Found->Standing != claim_state::Released)
    return verdictFor(*Found, Command.Holder);
  // A copy of the acquire that was overtaken by its own release would hold the key for nobody.
  if (Found != nullptr && Found->Holder == Command.Holder)
    return claim_error::Withdrawn;
  if (Command.ExpiresAt <= ExpiredUntil)
    return claim_error::AlreadyExpired;
  if (Found == nullptr && !hasRoom())
    return claim_error::TableFull;
  return claim_status::Granted;
}

result<done, claim_error> claim_table::check(const claim_settle &Command) const {
  if (Command.Standing == claim_state::Running)
    return claim_error::InvalidStanding;
  const claim_record *Found = lookUp(Command.Key);
  if (Found == nullptr) {
    if (Command.Standing != claim_state::Released)
      return claim_error::NotHolder;
    if (Command.ExpiresAt <= ExpiredUntil)
      return claim_error::AlreadyExpired;
    return hasRoom() ? result<done, claim_error>(done{}) : claim_error::TableFull;
  }
  if (Found->Holder != Command.Holder)
    return claim_error::NotHolder;
  if (Found->Standing == Command.Standing || mayBecome(Found->Standing, Command.Standing))
    return done{};
  return claim_error::AlreadySettled;
}

result<done, claim_error> claim_table::check(const claim_expire &Command) const {
  if (Command.Now < ExpiredUntil)
    return claim_error::TimeWentBack;
  return done{};
}

result<claim_status, claim_error> claim_table::execute(const claim_acquire &Command) {
  auto Checked = check(Command);
  const claim_record *Found = lookUp(Command.Key);
  const bool Held = Found != nullptr && Found->Standing != claim_state::Released;
  if (!succeeded(Checked) || Held)
    return Checked;
  requireInvariant(valueOf(Checked) == claim_status::Granted, "only a free key is newly granted");
  erase(Command.Key);
  evictOneReleased();
  insert({Command.Key, Command.Holder, claim_state::Running, Command.ExpiresAt});
  requireConsistent();
  return Checked;
}

result<done, claim_error> claim_table::execute(const claim_settle &Command) {
  auto Checked = check(Command);
  if (!succeeded(Checked))
    return Checked;
  const claim_record *Found = lookUp(Command.Key);
  const unix_millis ExpiresAt = Found != nullptr ? Found->ExpiresAt : Command.ExpiresAt;
  erase(Command.Key);
  evictOneReleased();
  insert({Command.Key, Command.Holder, Command.Standing, ExpiresAt});
  requireConsistent();
  return Checked;
}

result<done, claim_error> claim_table::execute(const claim_expire &Command) {
  auto Checked = check(Command);
  if (!succeeded(Checked))
    return Checked;
  ExpiredUntil = Command.Now;
  for (std::size_t Left = MostExpiredAtOnce; Left > 0 && !ByExpiry.empty(); --Left) {
    if (ByExpiry.begin()->first > ExpiredUntil)
      break;
    erase(ByExpiry.begin()->second);
  }
  requireConsistent();
  return Checked;
}

} // namespace pollenstall
