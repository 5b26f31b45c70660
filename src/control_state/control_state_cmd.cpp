/** @file control_state_cmd.cpp The commands on the control state: check without effect, execute. */
#include "control_state/control_state_base.h"

#include <utility>

namespace pollenstall {

namespace {

std::uint64_t contentOf(const apply_change &Command) {
  return combineHashes(stableHash(Command.Text), Command.Base.value());
}

std::uint64_t contentOf(const set_drain &Command) {
  return combineHashes(stableHash(Command.Backend.str()), Command.Undo ? 1 : 0);
}

} // namespace

control_answer control_state::check(const control_command &Command) const {
  return std::visit([this](const auto &One) { return checkOne(One); }, Command);
}

control_answer control_state::execute(const control_command &Command) {
  return std::visit(overloaded{[this](const apply_change &One) { return executeChange(One); },
                               [this](const set_drain &One) { return executeChange(One); },
                               [this](const take_fence &One) { return executeCommand(One); },
                               [this](const offer_declaration &One) { return executeCommand(One); },
                               [this](const note_backends &One) { return executeCommand(One); },
                               [this](const note_crash &One) { return executeCommand(One); },
                               [this](const clear_suspect &One) { return executeCommand(One); },
                               [this](const auto &Claim) { return executeClaim(Claim); }},
                    Command);
}

// ---- Changes with an id. ----

change_verdict control_state::judge(const apply_change &Command) const {
  if (!Command.Rejected.empty())
    return change_invalid{Command.Rejected};
  // Two operators who changed the same revision: the log orders them, and the second meets a
  // revision that is not the one it was made against. Taking it would drop the first one's change.
  if (Command.Base != Declared.Revision)
    return change_conflict{Declared.Revision};
  return change_accepted{Declared.Revision.next()};
}

change_verdict control_state::judge(const set_drain &Command) const {
  const bool Drained = Drains.count(Command.Backend) != 0;
  if (Drained != Command.Undo)
    return drain_recorded{DrainsVersion};
  if (!Command.Undo && Drains.size() >= Limits.MaxDrains)
    return drains_full{};
  return drain_recorded{DrainsVersion + 1};
}

template <typename Change> control_answer control_state::checkChange(const Change &Command) const {
  const answer_record *Known = findAnswer(Command.Id);
  if (Known == nullptr)
    return change_answer{judge(Command), false};
  if (Known->Content != contentOf(Command))
    return change_id_reused{};
  return change_answer{Known->Verdict, true};
}

control_answer control_state::checkOne(const apply_change &Command) const {
  return checkChange(Command);
}
control_answer control_state::checkOne(const set_drain &Command) const {
  return checkChange(Command);
}

template <typename Change> control_answer control_state::executeChange(const Change &Command) {
  control_answer Answer = checkChange(Command);
  const auto *Checked = std::get_if<change_answer>(&Answer);
  if (Checked == nullptr || Checked->Repeated)
    return Answer;
  record({Command.Id, contentOf(Command), Checked->Verdict, Command.Time});
  executeOne(Command, Checked->Verdict);
  requireConsistent();
  return Answer;
}

void control_state::executeOne(const apply_change &Command, const change_verdict &Verdict) {
  const auto *Accepted = std::get_if<change_accepted>(&Verdict);
  if (Accepted == nullptr)
    return;
  requireInvariant(Accepted->Revision > Declared.Revision, "the revision only rises");
  Declared = {Accepted->Revision, Command.Text};
  History.push_back({Accepted->Revision, Command.Id, LatestTime, Command.Summary});
  if (History.size() > Limits.MaxHistory)
    History.pop_front();
}

void control_state::executeOne(const set_drain &Command, const change_verdict &Verdict) {
  const auto *Recorded = std::get_if<drain_recorded>(&Verdict);
  if (Recorded == nullptr || Recorded->Version == DrainsVersion)
    return;
  DrainsVersion = Recorded->Version;
  if (Command.Undo)
    Drains.erase(Command.Backend);
  else
    Drains.insert(Command.Backend);
}

// ---- Fencing numbers. ----

control_answer control_state::checkOne(const take_fence & /*Command*/) const {
  return fence_granted{LastFence.next()};
}

control_answer control_state::executeCommand(const take_fence &Command) {
  control_answer Answer = checkOne(Command);
  LastFence = std::get<fence_granted>(Answer).Fence;
  return Answer;
}

// ---- Offers. ----

control_answer control_state::checkOne(const offer_declaration &Command) const {
  const bool Taken = Command.Revision > Declared.Revision;
  return offer_answer{Taken ? Command.Revision : Declared.Revision, Taken};
}

control_answer control_state::executeCommand(const offer_declaration &Command) {
  control_answer Answer = checkOne(Command);
  if (!std::get<offer_answer>(Answer).Taken)
    return Answer;
  LatestTime = std::max(LatestTime, Command.Time);
  Declared = {Command.Revision, Command.Text};
  History.push_back({Command.Revision, change_id(), LatestTime, {}});
  if (History.size() > Limits.MaxHistory)
    History.pop_front();
  requireConsistent();
  return Answer;
}

// ---- Backend servers. ----

control_answer control_state::checkOne(const note_backends & /*Command*/) {
  return backends_kept{};
}

control_answer control_state::executeCommand(const note_backends &Command) {
  for (const backend_listing &Listing : Command.Changes)
    keepBackend(Listing);
  return backends_kept{};
}

// ---- Requests under which backend servers crash. ----

control_answer control_state::checkOne(const note_crash & /*Command*/) { return suspects_kept{}; }
control_answer control_state::checkOne(const clear_suspect & /*Command*/) {
  return suspects_kept{};
}

control_answer control_state::executeCommand(const note_crash &Command) {
  LatestTime = std::max(LatestTime, Command.Time);
  Suspects.recordCrash(Command.Marks, Command.Incarnation, LatestTime);
  return suspects_kept{};
}

control_answer control_state::executeCommand(const clear_suspect &Command) {
  Suspects.clear(Command.High);
  return suspects_kept{};
}

void control_state::keepBackend(const backend_listing &Listing) {
  const auto Known = Backends.find(Listing.Instance);
  const bool IsKnown = Known != Backends.end();
  if (IsKnown && Listing.Started < Known->second.Started)
    return;
  if (Listing.State == listing_state::Gone) {
    if (IsKnown)
      Backends.erase(Known);
  } else if (IsKnown && Listing.Key.Address.empty()) {
    Known->second.State = Listing.State; // It was withdrawn at a leader that had not heard of it.
  } else if (!Listing.Key.Address.empty() && (IsKnown || Backends.size() < Limits.MaxBackends)) {
    Backends.insert_or_assign(Listing.Instance, Listing);
  }
}

const backend_listing *control_state::backend(const instance_name &Instance) const {
  const auto Known = Backends.find(Instance);
  return Known == Backends.end() ? nullptr : &Known->second;
}

std::vector<backend_listing> control_state::backends() const {
  std::vector<backend_listing> Listings;
  Listings.reserve(Backends.size());
  for (const auto &[Instance, Listing] : Backends)
    Listings.push_back(Listing);
  return Listings;
}

// ---- Claims. ----

control_answer control_state::checkOne(const claim_acquire &Command) const {
  return Claims.check(Command);
}
control_answer control_state::checkOne(const claim_settle &Command) const {
  return Claims.check(Command);
}
control_answer control_state::checkOne(const claim_expire &Command) const {
  return Claims.check(Command);
}

template <typename Claim> control_answer control_state::executeClaim(const Claim &Command) {
  return Claims.execute(Command);
}

} // namespace pollenstall
