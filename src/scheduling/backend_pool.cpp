/** @file backend_pool.cpp Keeps records of backend servers and the groups they belong to. */
#include "scheduling/backend_pool_base.h"

#include "scheduling/long_placement_func.h"

#include <algorithm>

namespace pollenstall {
namespace {

constexpr double FastGuess = 100'000.0; ///< Prompt tokens per second.
/// Samples of 4,096 tokens; the estimate moves by a factor of two a sample at most.
constexpr double SamplesToRefuseBy = 6.0;

bool carries(const label_set &Announced, const label_set &Wanted) {
  return std::all_of(Wanted.begin(), Wanted.end(), [&Announced](const auto &Label) {
    const auto Found = Announced.find(Label.first);
    return Found != Announced.end() && Found->second == Label.second;
  });
}

double medianOf(std::vector<double> &Values, double Otherwise) {
  if (Values.empty())
    return Otherwise;
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

double scheduled_backend::requests() const {
  const double Reported = static_cast<double>(View.Load.Running) + View.Load.Waiting;
  return std::max(0.0, Reported - OwnInReport) + Outstanding;
}

memory_blocks scheduled_backend::need(const work_item &Item) const {
  const std::int64_t BlockTokens = std::max<std::int64_t>(1, View.Announcement.BlockTokens.value());
  const std::int64_t Tokens = Item.Prompt.value() + Item.AnswerLimit.value();
  return memory_blocks((Tokens + BlockTokens - 1) / BlockTokens);
}

bool scheduled_backend::serves(const work_item &Item) const {
  if (Item.Model.empty())
    return true;
  const auto &Models = View.Announcement.Models;
  return std::find(Models.begin(), Models.end(), Item.Model) != Models.end();
}

void backend_pool::applyDeclaration(const fleet_declaration &Declaration) {
  Groups.clear();
  for (const group_declaration &Group : Declaration.Groups)
    Groups[Group.Name] = group_members{Group.Service, Group.Labels, {}, {}};
  LongFrom = static_cast<double>(Declaration.Policy.LongFrom.value());
  for (auto &[Key, Record] : Records)
    Record.Prefill.setLongFrom(LongFrom);
  Stale = true;
}

scheduled_backend &backend_pool::update(const backend_view &View, mono_time Now) {
  const auto [Found, Added] = Records.try_emplace(View.Announcement.Key);
  scheduled_backend &Record = Found->second;
  const backend_announcement &Before = Record.View.Announcement;
  if (Added || Before.Labels != View.Announcement.Labels ||
      Before.Service != View.Announcement.Service || Record.View.Standing != View.Standing)
    Stale = true;
  if (Added) {
    Record.Prefill.setLongFrom(LongFrom);
    Record.Costs.adoptPeerRate(TypicalRate);
    Record.LastProgress = Now;
  }
  Record.View = View;
  Record.Memory.setCapacity(View.Announcement.Memory);
  return Record;
}

void backend_pool::remove(const backend_key &Backend) {
  Records.erase(Backend);
  Ejections.forget(Backend);
  // Groups hold pointers into the map: rebuilt here and not later, so that none dangles.
  rebuild();
}

scheduled_backend *backend_pool::find(const backend_key &Backend) {
  const auto Found = Records.find(Backend);
  return Found == Records.end() ? nullptr : &Found->second;
}

void backend_pool::rebuild() {
  Services.clear();
  for (auto &[Key, Record] : Records)
    Services[Record.View.Announcement.Service].push_back(&Record);
  for (auto &[Name, Group] : Groups) {
    Group.Servers.clear();
    for (scheduled_backend *Record : Services[Group.Service])
      if (carries(Record->View.Announcement.Labels, Group.Labels))
        Group.Servers.push_back(Record);
  }
  Stale = false;
}

const std::vector<scheduled_backend *> &backend_pool::members(const service_name &Service,
                                                              const group_name &Group) {
  if (Stale)
    rebuild();
  if (Group.empty()) {
    const auto Found = Services.find(Service);
    return Found == Services.end() ? Nobody : Found->second;
  }
  const auto Found = Groups.find(Group);
  return Found == Groups.end() ? Nobody : Found->second.Servers;
}

void backend_pool::chooseLongEngines(double GreatestShare, double LongDemand) {
  if (Stale)
    rebuild();
  for (auto &[Name, Group] : Groups) {
    std::vector<long_candidate> Candidates;
    for (const scheduled_backend *Record : Group.Servers)
      if (Record->active() && Ejections.state(Record->key()) == ejection_state::Admitted)
        Candidates.push_back({Record->key(), Record->View.Announcement.Domain});
    std::vector<backend_key> Order = longWorkOrder(Candidates);
    Order.resize(longEngineCount(Order.size(), GreatestShare, LongDemand));
    Group.LongEngines.clear();
    for (const backend_key &Backend : Order)
      Group.LongEngines.emplace(Backend, Group.LongEngines.size());
  }
}

bool backend_pool::takesLong(const group_name &Group, const backend_key &Backend,
                             double Part) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return true;
  const auto &Engines = Found->second.LongEngines;
  const auto Place = Engines.find(Backend);
  return Place != Engines.end() &&
         static_cast<double>(Place->second) < static_cast<double>(Engines.size()) * Part;
}

double backend_pool::refusalRate() const {
  return RateLearnt ? TypicalRate : std::max(TypicalRate, FastGuess);
}

void backend_pool::learnTypical() {
  std::vector<double> Rates;
  std::vector<double> Steps;
  RateLearnt = false;
  for (const auto &[Key, Record] : Records) {
    if (!Record.active() || Record.Costs.prefillSamples() < 1.0)
      continue;
    Rates.push_back(Record.Costs.prefillRate());
    Steps.push_back(Record.Costs.secondsPerStep());
    RateLearnt = RateLearnt || Record.Costs.prefillSamples() >= SamplesToRefuseBy;
  }
  TypicalRate = medianOf(Rates, TypicalRate);
  TypicalStep = medianOf(Steps, TypicalStep);
  for (auto &[Key, Record] : Records)
    Record.Costs.adoptPeerRate(TypicalRate);
}

void backend_pool::review(std::uint32_t MostPercent, mono_time Now) {
  if (Stale)
    rebuild();
  learnTypical();
  for (auto &[Name, Servers] : Services) {
    std::vector<peer_speed> Peers;
    for (scheduled_backend *Record : Servers)
      if (Record->active())
        Peers.push_back(
            {Record->key(), Record->Costs.prefillRate(), Record->Costs.prefillSamples()});
    Ejections.review(Peers, MostPercent, Now);
  }
}

} // namespace pollenstall
