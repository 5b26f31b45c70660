/** @file control_state_cmd.cpp Commands on the control state: check() without effect, execute(). */
#include "control_state/control_state_base.h"

#include <utility>

namespace pollenstall {

namespace {

std::uint64_t contentHash(const apply_change &Command) {
  return combineHashes(stableHash(Command.Text), Command.Base.value());
}

std::uint64_t contentHash(const set_drain &Command) {
  return combineHashes(stableHash(Command.Backend.str()), Command.Undo ? 1 : 0);
}

} // namespace

control_answer control_state::check(const control_command &Command) const {
  return std::visit([this](const auto &Typed) { return checkCommand(Typed); }, Command);
}

control_answer control_state::execute(const control_command &Command) {
  return std::visit(
      overloaded{[this](const apply_change &Typed) { return executeChange(Typed); },
                 [this](const set_drain &Typed) { return executeChange(Typed); },
                 [this](const take_fencing_token &Typed) { return executeCommand(Typed); },
                 [this](const offer_declaration &Typed) { return executeCommand(Typed); },
                 [this](const update_backends &Typed) { return executeCommand(Typed); },
                 [this](const record_crash &Typed) { return executeCommand(Typed); },
                 [this](const clear_suspect &Typed) { return executeCommand(Typed); },
                 [this](const record_suspect_run &Typed) { return executeCommand(Typed); },
                 [this](const set_evacuation &Typed) { return executeCommand(Typed); },
                 [this](const auto &Claim) { return executeClaim(Claim); }},
      Command);
}

// ---- Changes with a change id. ----

change_verdict control_state::decideVerdict(const apply_change &Command) const {
  if (!Command.ValidationErrors.empty())
    return change_invalid{Command.ValidationErrors};
  // Two operators may change the same revision. The log orders the changes, and the second one is
  // based on an outdated revision. Accepting it would drop the first change.
  if (Command.Base != Declared.Revision)
    return change_conflict{Declared.Revision};
  return change_accepted{Declared.Revision.next()};
}

change_verdict control_state::decideVerdict(const set_drain &Command) const {
  const bool Drained = Drains.count(Command.Backend) != 0;
  // The backend server is already in the requested state.
  if (Drained != Command.Undo)
    return drain_recorded{DrainsVersion};
  if (!Command.Undo && Drains.size() >= Limits.MaxDrains)
    return drains_full{};
  return drain_recorded{DrainsVersion + 1};
}

template <typename Change> control_answer control_state::checkChange(const Change &Command) const {
  const answer_record *Existing = findAnswer(Command.Id);
  if (Existing == nullptr)
    return change_answer{decideVerdict(Command), false};
  if (Existing->ContentHash != contentHash(Command))
    return change_id_reused{};
  return change_answer{Existing->Verdict, true};
}

control_answer control_state::checkCommand(const apply_change &Command) const {
  return checkChange(Command);
}
control_answer control_state::checkCommand(const set_drain &Command) const {
  return checkChange(Command);
}

template <typename Change> control_answer control_state::executeChange(const Change &Command) {
  control_answer Answer = checkChange(Command);
  const auto *Decided = std::get_if<change_answer>(&Answer);
  if (Decided == nullptr || Decided->Repeated)
    return Answer;
  recordAnswer({Command.Id, contentHash(Command), Decided->Verdict, Command.Time});
  applyEffect(Command, Decided->Verdict);
  requireConsistent();
  return Answer;
}

void control_state::applyEffect(const apply_change &Command, const change_verdict &Verdict) {
  const auto *Accepted = std::get_if<change_accepted>(&Verdict);
  if (Accepted == nullptr)
    return;
  requireInvariant(Accepted->Revision > Declared.Revision, "the revision only rises");
  Declared = {Accepted->Revision, Command.Text};
  History.push_back({Accepted->Revision, Command.Id, LatestCommandTime, Command.Summary});
  if (History.size() > Limits.MaxHistory)
    History.pop_front();
}

void control_state::applyEffect(const set_drain &Command, const change_verdict &Verdict) {
  const auto *Recorded = std::get_if<drain_recorded>(&Verdict);
  if (Recorded == nullptr || Recorded->Version == DrainsVersion)
    return;
  DrainsVersion = Recorded->Version;
  if (Command.Undo)
    Drains.erase(Command.Backend);
  else
    Drains.insert(Command.Backend);
}

// ---- Evacuated failure domains. ----

control_answer control_state::checkCommand(const set_evacuation &Command) const {
  return Evacuations.check(Command);
}

control_answer control_state::executeCommand(const set_evacuation &Command) {
  LatestCommandTime = std::max(LatestCommandTime, Command.Time);
  return Evacuations.execute(Command, LatestCommandTime);
}

// ---- Fencing tokens. ----

control_answer control_state::checkCommand(const take_fencing_token & /*Command*/) const {
  return fencing_token_granted{LastFence.next()};
}

control_answer control_state::executeCommand(const take_fencing_token &Command) {
  control_answer Answer = checkCommand(Command);
  LastFence = std::get<fencing_token_granted>(Answer).Fence;
  return Answer;
}

// ---- Offered declarations. ----

control_answer control_state::checkCommand(const offer_declaration &Command) const {
  const bool IsNewer = Command.Revision > Declared.Revision;
  return offer_answer{IsNewer ? Command.Revision : Declared.Revision, IsNewer};
}

control_answer control_state::executeCommand(const offer_declaration &Command) {
  control_answer Answer = checkCommand(Command);
  if (!std::get<offer_answer>(Answer).Applied)
    return Answer;
  LatestCommandTime = std::max(LatestCommandTime, Command.Time);
  Declared = {Command.Revision, Command.Text};
  History.push_back({Command.Revision, change_id(), LatestCommandTime, {}});
  if (History.size() > Limits.MaxHistory)
    History.pop_front();
  requireConsistent();
  return Answer;
}

// ---- Backend servers. ----

control_answer control_state::checkCommand(const update_backends & /*Command*/) {
  return backends_updated{};
}

control_answer control_state::executeCommand(const update_backends &Command) {
  for (const backend_listing &Listing : Command.Changes)
    storeBackend(Listing);
  return backends_updated{};
}

// ---- Requests suspected of crashing backend servers. ----

control_answer control_state::checkCommand(const record_crash & /*Command*/) {
  return suspects_updated{};
}
control_answer control_state::checkCommand(const clear_suspect & /*Command*/) {
  return suspects_updated{};
}

control_answer control_state::checkCommand(const record_suspect_run & /*Command*/) {
  return suspects_updated{};
}

control_answer control_state::executeCommand(const record_crash &Command) {
  LatestCommandTime = std::max(LatestCommandTime, Command.Time);
  Suspects.recordCrash(Command.Fingerprints, Command.Incarnation, LatestCommandTime);
  return suspects_updated{};
}

control_answer control_state::executeCommand(const clear_suspect &Command) {
  Suspects.clearByHigh(Command.FingerprintHigh);
  return suspects_updated{};
}

control_answer control_state::executeCommand(const record_suspect_run &Command) {
  LatestCommandTime = std::max(LatestCommandTime, Command.Time);
  Suspects.recordRunBegun(Command.FingerprintHigh, LatestCommandTime);
  return suspects_updated{};
}

void control_state::storeBackend(const backend_listing &Listing) {
  const auto Existing = Backends.find(Listing.Instance);
  const bool Exists = Existing != Backends.end();
  if (Exists && Listing.Started < Existing->second.Started)
    return;
  if (Listing.State == listing_state::Gone) {
    if (Exists)
      Backends.erase(Existing);
  } else if (Exists && Listing.Key.Address.empty()) {
    // The leader knew only the server's withdrawal, not its address, so only the state changes.
    Existing->second.State = Listing.State;
  } else if (!Listing.Key.Address.empty() && (Exists || Backends.size() < Limits.MaxBackends)) {
    Backends.insert_or_assign(Listing.Instance, Listing);
  }
}

const backend_listing *control_state::backend(const instance_name &Instance) const {
  const auto Existing = Backends.find(Instance);
  return Existing == Backends.end() ? nullptr : &Existing->second;
}

std::vector<backend_listing> control_state::backends() const {
  std::vector<backend_listing> Listings;
  Listings.reserve(Backends.size());
  for (const auto &[Instance, Listing] : Backends)
    Listings.push_back(Listing);
  return Listings;
}

// ---- Claims. ----

control_answer control_state::checkCommand(const claim_acquire &Command) const {
  return Claims.check(Command);
}
control_answer control_state::checkCommand(const claim_settle &Command) const {
  return Claims.check(Command);
}
control_answer control_state::checkCommand(const claim_expire &Command) const {
  return Claims.check(Command);
}

template <typename Claim> control_answer control_state::executeClaim(const Claim &Command) {
  return Claims.execute(Command);
}

} // namespace pollenstall
