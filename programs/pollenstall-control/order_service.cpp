/** @file order_service.cpp Connects gossip, the control core and the order executor. */
#include "order_service_base.h"

#include "declaration/declaration.h"

#include <algorithm>
#include <fstream>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MaxUnderWay{400};
constexpr int LeaseParts = 3; ///< Margin at the end, renewal, and time to send.
constexpr milliseconds FenceLimit{300};

/// Derives the limits from the lease: with a margin as long as the lease, no order could be sent.
order_executor_options optionsFrom(const control_settings &Settings) {
  order_executor_options Options;
  const milliseconds InFlight = std::min(MaxUnderWay, Settings.Election / LeaseParts);
  Options.Gate = {InFlight, InFlight, InFlight, replicaOptions(Settings).MaxClockStep};
  Options.Calls = {InFlight / 2, InFlight / 2};
  Options.Planner.Loads = {Settings.LoadsAtOnce, Settings.LoadsPerMinute};
  return Options;
}

/// Parses the declaration once per revision.
class placement_reader {
public:
  explicit placement_reader(control_core &ControlCore) : Core(&ControlCore) {}

  std::optional<std::vector<placement>> operator()() {
    const auto Declared = Core->declared();
    if (Declared != Last) {
      Placements = placementsOf(Declared->Text);
      Last = Declared;
    }
    return Placements;
  }

private:
  control_core *Core;
  std::shared_ptr<const declaration_record> Last;
  std::optional<std::vector<placement>> Placements;
};

std::optional<fencing_token> takeFencingToken(control_core &Core) {
  const control_outcome Outcome = Core.ask(submit_command{take_fencing_token{}}, FenceLimit);
  const auto *Answer = std::get_if<control_answer>(&Outcome);
  const auto *Granted = Answer == nullptr ? nullptr : std::get_if<fencing_token_granted>(Answer);
  return Granted == nullptr ? std::nullopt : std::optional(Granted->Fence);
}

order_executor_callbacks executorCallbacks(control_core &Core,
                                           std::shared_ptr<order_status_view> OrderStatusView) {
  order_executor_callbacks Callbacks;
  Callbacks.Lease = [&Core] { return Core.lease(); };
  Callbacks.TakeFencingToken = [&Core] { return takeFencingToken(Core); };
  Callbacks.Placements = placement_reader(Core);
  Callbacks.StatusView = std::move(OrderStatusView);
  return Callbacks;
}

} // namespace

std::optional<std::vector<placement>> placementsOf(const std::string &Declaration) {
  const auto Parsed = parseDeclaration(Declaration, "declaration");
  if (!succeeded(Parsed))
    return std::nullopt;
  const fleet_declaration &Fleet = valueOf(Parsed);
  std::vector<placement> Placements;
  for (const placement_declaration &Declared : Fleet.Placements) {
    const auto Group = std::find_if(
        Fleet.Groups.begin(), Fleet.Groups.end(),
        [&](const group_declaration &Candidate) { return Candidate.Name == Declared.Group; });
    requireInvariant(Group != Fleet.Groups.end(),
                     "a validated placement refers to a declared group");
    const bool Spreads = Declared.Spread == placement_spread::Domains;
    Placements.push_back({Declared.Service,
                          Declared.Group,
                          Group->Labels,
                          {Declared.Model, model_version(Declared.Version)},
                          Declared.Copies,
                          Spreads ? copy_spread::Domains : copy_spread::None});
  }
  return Placements;
}

std::optional<std::string> order_service::open(const control_settings &Settings) {
  if (Settings.GossipAddress.empty())
    return std::nullopt;
  const auto Incarnation = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch() / std::chrono::nanoseconds(1));
  gossip_options Options;
  Options.Secret.Fleet = Settings.Fleet;
  if (!Settings.GossipKeyFile.empty()) {
    std::ifstream File(Settings.GossipKeyFile);
    if (!std::getline(File, Options.Secret.Key))
      return "cannot read " + Settings.GossipKeyFile;
  }
  Options.Bind = peer_address(Settings.GossipAddress);
  Options.Identity.Self = {host_name(Settings.Host), incarnation(Incarnation)};
  Options.Identity.Domain = failure_domain_name(Settings.Domain);
  for (const std::string &Seed : Settings.GossipSeeds)
    Options.Identity.Seeds.emplace_back(Seed);
  Options.RandomSeed = Incarnation;
  auto Created = gossip_service::create(std::move(Options));
  if (!succeeded(Created))
    return "cannot listen for gossip on " + Settings.GossipAddress;
  Gossip = std::move(valueOf(Created));
  OrderStatusView = std::make_shared<order_status_view>();
  return std::nullopt;
}

void order_service::start(const control_settings &Settings, control_core &Core) {
  if (!Gossip)
    return;
  OrderExecutor = std::make_unique<order_executor>(
      optionsFrom(Settings), executorCallbacks(Core, OrderStatusView), Gossip->changes());
  Gossip->start();
  OrderExecutor->start();
}

} // namespace pollenstall
