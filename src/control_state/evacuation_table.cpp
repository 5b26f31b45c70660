/** @file evacuation_table.cpp Changes of the set of evacuated failure domains. */
#include "control_state/evacuation_table_base.h"

namespace pollenstall {

namespace {

bool isValidName(const failure_domain_name &Domain) {
  return !Domain.empty() && Domain.str().size() <= MaxDomainNameBytes;
}

} // namespace

control_answer evacuation_table::check(const set_evacuation &Command) const {
  if (!isValidName(Command.Domain))
    return evacuation_refused{evacuation_refusal::InvalidName};
  const auto Found = Domains.find(Command.Domain);
  const bool Evacuated = Found != Domains.end();
  // The domain is already in the requested state.
  if (Evacuated && !Command.Undo)
    return evacuation_recorded{Found->second.Version};
  if (!Evacuated && Command.Undo)
    return evacuation_recorded{Version};
  if (!Command.Undo && Domains.size() >= Limit)
    return evacuation_refused{evacuation_refusal::TooMany};
  return evacuation_recorded{Version + 1};
}

control_answer evacuation_table::execute(const set_evacuation &Command, unix_millis Time) {
  control_answer Answer = check(Command);
  const auto *Recorded = std::get_if<evacuation_recorded>(&Answer);
  if (Recorded == nullptr || Recorded->Version <= Version)
    return Answer;
  Version = Recorded->Version;
  if (Command.Undo)
    Domains.erase(Command.Domain);
  else
    Domains.emplace(Command.Domain, evacuation_record{Command.Domain, Version, Time});
  return Answer;
}

std::vector<failure_domain_name> evacuation_table::names() const {
  std::vector<failure_domain_name> Names;
  Names.reserve(Domains.size());
  for (const auto &[Name, Record] : Domains)
    Names.push_back(Name);
  return Names;
}

std::vector<evacuation_record> evacuation_table::records() const {
  std::vector<evacuation_record> Records;
  Records.reserve(Domains.size());
  for (const auto &[Name, Record] : Domains)
    Records.push_back(Record);
  return Records;
}

bool evacuation_table::restore(const std::vector<evacuation_record> &Records,
                               std::uint64_t RecordsVersion) {
  if (Records.size() > Limit)
    return false;
  std::map<failure_domain_name, evacuation_record> Restored;
  for (const evacuation_record &Record : Records) {
    const bool Valid =
        isValidName(Record.Domain) && Record.Version > 0 && Record.Version <= RecordsVersion;
    if (!Valid || !Restored.emplace(Record.Domain, Record).second)
      return false;
  }
  Domains = std::move(Restored);
  Version = RecordsVersion;
  return true;
}

} // namespace pollenstall
