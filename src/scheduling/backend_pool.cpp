/** @file backend_pool.cpp Records of backend servers and the groups that they belong to. */
#include "scheduling/backend_pool_base.h"

#include "scheduling/long_placement_func.h"

#include <algorithm>

namespace pollenstall {
namespace {

constexpr double OptimisticRate = 100'000.0; ///< Prompt tokens per second.
/// Number of samples, of 4,096 tokens each, from which the learned rate of an engine is used to
/// refuse requests. Several are needed, because one sample changes the estimate by at most a factor
/// of two.
constexpr double MinSamplesForRefusal = 6.0;

bool hasLabels(const label_set &Announced, const label_set &Wanted) {
  return std::all_of(Wanted.begin(), Wanted.end(), [&Announced](const auto &Label) {
    const auto Found = Announced.find(Label.first);
    return Found != Announced.end() && Found->second == Label.second;
  });
}

double medianOf(std::vector<double> &Values, double Default) {
  if (Values.empty())
    return Default;
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

double scheduled_backend::requestCount() const {
  const double Reported = static_cast<double>(View.Load.Running) + View.Load.Waiting;
  return std::max(0.0, Reported - OwnAttemptsInReport) + Outstanding;
}

memory_blocks scheduled_backend::blocksNeeded(const work_item &Item) const {
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
  const backend_announcement &Previous = Record.View.Announcement;
  if (Added || Previous.Labels != View.Announcement.Labels ||
      Previous.Service != View.Announcement.Service || Record.View.Status != View.Status)
    Stale = true;
  if (Added) {
    Record.Prefill.setLongFrom(LongFrom);
    Record.Costs.adoptPeerRate(TypicalRate);
    Record.LastProgress = Now;
  }
  Record.View = View;
  Record.Evacuated = Evacuations.isOut(View.Announcement.Domain);
  Record.Memory.setCapacity(View.Announcement.Memory);
  return Record;
}

void backend_pool::remove(const backend_key &Backend) {
  Records.erase(Backend);
  OutlierDetector.eraseBackend(Backend);
  // Groups hold pointers into the map, so they are rebuilt at once: a later rebuild would leave
  // dangling pointers.
  rebuild();
}

void backend_pool::setEvacuations(const evacuation_list &List) {
  Evacuations = List;
  for (auto &[Key, Record] : Records) {
    const bool WasOut = Record.Evacuated;
    Record.Evacuated = List.isOut(Record.View.Announcement.Domain);
    if (WasOut && !Record.Evacuated)
      OutlierDetector.eraseBackend(Key);
  }
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
      if (hasLabels(Record->View.Announcement.Labels, Group.Labels))
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
    return Found == Services.end() ? NoServers : Found->second;
  }
  const auto Found = Groups.find(Group);
  return Found == Groups.end() ? NoServers : Found->second.Servers;
}

void backend_pool::selectLongEngines(double MaxShare, double LongCostShare) {
  if (Stale)
    rebuild();
  for (auto &[Name, Group] : Groups) {
    std::vector<long_work_candidate> Candidates;
    for (const scheduled_backend *Record : Group.Servers)
      if (Record->active() && OutlierDetector.state(Record->key()) == ejection_state::Admitted)
        Candidates.push_back({Record->key(), Record->View.Announcement.Domain});
    std::vector<backend_key> Order = longWorkOrder(Candidates);
    Order.resize(longEngineCount(Order.size(), MaxShare, LongCostShare));
    Group.LongEngines.clear();
    for (const backend_key &Backend : Order)
      Group.LongEngines.emplace(Backend, Group.LongEngines.size());
  }
}

bool backend_pool::acceptsLongWork(const group_name &Group, const backend_key &Backend,
                                   double EngineShare) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return true;
  const auto &Engines = Found->second.LongEngines;
  const auto Position = Engines.find(Backend);
  return Position != Engines.end() &&
         static_cast<double>(Position->second) < static_cast<double>(Engines.size()) * EngineShare;
}

double backend_pool::admissionPrefillRate() const {
  return TypicalRateLearned ? TypicalRate : std::max(TypicalRate, OptimisticRate);
}

void backend_pool::updateTypicalRates() {
  std::vector<double> Rates;
  std::vector<double> Steps;
  TypicalRateLearned = false;
  for (const auto &[Key, Record] : Records) {
    if (!Record.active() || Record.Costs.prefillSamples() < 1.0)
      continue;
    Rates.push_back(Record.Costs.prefillRate());
    Steps.push_back(Record.Costs.secondsPerStep());
    TypicalRateLearned =
        TypicalRateLearned || Record.Costs.prefillSamples() >= MinSamplesForRefusal;
  }
  TypicalRate = medianOf(Rates, TypicalRate);
  TypicalStep = medianOf(Steps, TypicalStep);
  for (auto &[Key, Record] : Records)
    Record.Costs.adoptPeerRate(TypicalRate);
}

void backend_pool::updateEjections(std::uint32_t MaxEjectPercent, mono_time Now) {
  if (Stale)
    rebuild();
  updateTypicalRates();
  for (auto &[Name, Servers] : Services) {
    std::vector<peer_speed> Peers;
    for (scheduled_backend *Record : Servers)
      if (Record->active())
        Peers.push_back(
            {Record->key(), Record->Costs.prefillRate(), Record->Costs.prefillSamples()});
    OutlierDetector.updateEjections(Peers, MaxEjectPercent, Now);
  }
}

} // namespace pollenstall
