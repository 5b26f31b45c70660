/** @file entry.cpp Creates the threads of an entry and connects them by rings. */
#include "entry_base.h"

#include "address/address.h"
#include "entry_file_func.h"
#include "platform/platform.h"
#include "stall_log_func.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <fstream>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr double BytesPerMegabyte = 1e6;
/// Part of the memory for operators' calls, which are small here.
constexpr double OperatorsPart = 0.0625;

process_key makeProcessKey(const std::string &Host) {
  const auto Wall = std::chrono::system_clock::now().time_since_epoch();
  const auto Nanos = std::chrono::duration_cast<std::chrono::nanoseconds>(Wall).count();
  return {host_name(Host), incarnation(static_cast<std::uint64_t>(Nanos))};
}

} // namespace

entry::entry(entry_settings InitialSettings)
    : Settings(std::move(InitialSettings)), Self(makeProcessKey(Settings.Host)),
      Registry(std::make_shared<prometheus::Registry>()), IoWorkGuard(asio::make_work_guard(Io)) {}

entry::~entry() {
  Announcements.reset();
  Operators.reset();
  Gossip.reset();
  if (Decision)
    Decision->stop();
  WorkShare.reset();
  stopRelay();
}

result<done, entry_error>
entry::loadDeclaration(std::optional<fleet_declaration> &Declaration) const {
  if (Settings.DeclarationFile.empty())
    return done{};
  const auto Text = readFile(Settings.DeclarationFile);
  if (!Text)
    return entry_error{"cannot read " + Settings.DeclarationFile};
  auto Parsed = parseDeclaration(*Text, Settings.DeclarationFile);
  if (!succeeded(Parsed))
    return entry_error{toText(errorOf(Parsed))};
  Declaration = valueOf(std::move(Parsed));
  return done{};
}

std::optional<std::string> entry::missingSetting() const {
  if (Settings.DeclarationFile.empty() && Settings.ControlAddresses.empty())
    return "control.addresses, or declaration.file";
  if (usesDirectory() && Settings.WorkAddress.empty())
    return "listen.work";
  if (!usesDirectory() && Settings.GossipAddress.empty())
    return "listen.gossip";
  if (!usesDirectory() && Settings.AnnouncementsAddress.empty())
    return "listen.announcements";
  return std::nullopt;
}

result<done, entry_error> entry::start() {
  if (const auto Missing = missingSetting())
    return entry_error{"missing setting: " + *Missing};
  decision_options DecisionOptions;
  DecisionOptions.Backends = usesDirectory() ? backend_source::Control : backend_source::Gossip;
  if (usesPlatform())
    DecisionOptions.ReadDeclaration = platformDeclarationReader();
  DecisionOptions.RetryShare = Settings.RetryShare;
  DecisionOptions.RetryReserve = Settings.RetryReserve;
  DecisionOptions.OrderOverEntries = Settings.OrderOverEntries;
  DecisionOptions.RetryWindow = Settings.RetryWindow;
  DecisionOptions.Self = Self;
  DecisionOptions.Registry = Registry;
  auto Declared = loadDeclaration(DecisionOptions.FixedDeclaration);
  if (!succeeded(Declared))
    return Declared;
  const bool UsesControl = !DecisionOptions.FixedDeclaration;
  Decision = std::make_unique<decision_thread>(std::move(DecisionOptions));
  for (const auto Step : {&entry::startGossip, &entry::startWorkShare, &entry::startRelay,
                          &entry::startOperators, &entry::startAnnouncements}) {
    auto Started = (this->*Step)();
    if (!succeeded(Started))
      return Started;
  }
  if (UsesControl)
    startControl();
  Decision->start();
  if (Gossip)
    Gossip->start();
  if (WorkShare)
    WorkShare->start();
  RelayThread = std::thread([this] { Io.run(); });
  return writeAddresses();
}

void entry::startControl() {
  Decision->setControlLink(
      control_link_builder(withPort(Settings.ControlAddresses, Settings.ControlPort),
                           Settings.Fleet)
          .process(Self, failure_domain_name(Settings.FailureDomain))
          .workAddress(WorkShare ? WorkShare->address() : std::string())
          .renewInterval(Settings.ControlRenew)
          .answerTimeout(Settings.ControlAnswer)
          .connectTimeout(Settings.ControlConnect)
          .onEvents([this] { Decision->wake(); })
          .start());
}

result<done, entry_error> entry::startWorkShare() {
  if (!usesDirectory())
    return done{};
  permit_tuning Permits;
  Permits.ColdOvershoot = Settings.ColdOvershoot;
  Permits.ColdTolerance = Settings.ColdTolerance;
  auto Created = work_share::create(Settings.Fleet, Self, Settings.WorkAddress, Permits);
  if (!succeeded(Created))
    return entry_error{errorOf(Created).Text};
  WorkShare = std::move(valueOf(Created));
  Decision->setWorkShare(*WorkShare);
  logListening("work", WorkShare->address());
  return done{};
}

result<done, entry_error> entry::startGossip() {
  if (usesDirectory())
    return done{};
  gossip_options Options;
  Options.Secret.Fleet = Settings.Fleet;
  if (!Settings.GossipKeyFile.empty()) {
    const auto Key = readFile(Settings.GossipKeyFile);
    if (!Key)
      return entry_error{"cannot read " + Settings.GossipKeyFile};
    Options.Secret.Key = trimLineEndings(*Key);
  }
  Options.Bind = peer_address(Settings.GossipAddress);
  Options.Identity.Self = Self;
  Options.Identity.Domain = failure_domain_name(Settings.FailureDomain);
  for (const std::string &Seed : Settings.GossipSeeds)
    Options.Identity.Seeds.emplace_back(Seed);
  Options.RandomSeed = Self.Incarnation.value();
  auto Created = gossip_service::create(std::move(Options));
  if (!succeeded(Created))
    return entry_error{"cannot listen for gossip on " + Settings.GossipAddress};
  Gossip = std::move(valueOf(Created));
  Gossip->changes().onWake([this] { Decision->wake(); });
  Decision->setMembershipEvents(Gossip->changes());
  logListening("gossip", Gossip->address().str());
  return done{};
}

result<done, entry_error> entry::startRelay() {
  relay_builder Builder(Io, Decision->events());
  Builder.attemptLists(Decision->attemptLists())
      .crashUpdates(Decision->crashUpdates())
      .rateLimits(Decision->rateLimits())
      .serverNotices(Decision->serverNotices())
      .evacuationReports(Decision->evacuationReports())
      .process(Self)
      .limits(limitsOf(Settings))
      .metrics(Registry)
      .interface(usesPlatform() ? platformCalls() : call_interface())
      .onCallEnd([this](const call_record &Record) { handleCallEnd(Record); })
      .onAnswerBroken(logBrokenAnswer)
      .onHoldsEnded(logHolds)
      .onPathChange(logPathChange)
      .onConnectFailure(logConnectFailure)
      .onStall([](mono_duration Stall) { logStall("relay", Stall); });
  // Other entries ask for tunnels by TCP at the address that takes work reports by UDP.
  if (WorkShare)
    Builder.tunnels(Settings.Fleet,
                    {WorkShare->address(), failure_domain_name(Settings.FailureDomain)});
  Relay = Builder.build();
  if (const auto Tunnels = WorkShare ? Relay->listenForTunnels(WorkShare->address())
                                     : result<done, relay_error>(done{});
      !succeeded(Tunnels))
    return entry_error{errorOf(Tunnels).Text};
  Decision->orders().onWake([this] {
    asio::post(Io, [this] {
      Decision->orders().drain([this](relay_order &&Order) { Relay->handle(std::move(Order)); });
    });
  });
  const auto Listening = Relay->listen(Settings.CallersAddress);
  if (!succeeded(Listening))
    return entry_error{errorOf(Listening).Text};
  CallersAddress = valueOf(Listening);
  logListening("callers", CallersAddress);
  return done{};
}

result<done, entry_error> entry::startOperators() {
  auto Started = operator_server_builder(Settings.OperatorsAddress, Settings.OperatorKeyHash)
                     .health()
                     .readiness([this] { return Decision->ready() && !Stopping; })
                     .metrics(Registry)
                     .dump([this] { return dump(); })
                     .processMemory(Settings.MemoryMegabytes * BytesPerMegabyte, OperatorsPart)
                     .start();
  if (!succeeded(Started))
    return entry_error{errorOf(Started).Text};
  Operators = std::move(valueOf(Started));
  logListening("operators", Operators->address());
  return done{};
}

result<done, entry_error> entry::writeAddresses() const {
  if (Settings.AddressFile.empty())
    return done{};
  boost::json::object Addresses{{"callers", CallersAddress}, {"operators", Operators->address()}};
  if (Announcements)
    Addresses["announcements"] = Announcements->address();
  if (Gossip)
    Addresses["gossip"] = Gossip->address().str();
  if (WorkShare)
    Addresses["work"] = WorkShare->address();
  // The file is renamed into place, so that a process that waits for it never reads a partial one.
  const std::string TempPath = Settings.AddressFile + ".new";
  {
    std::ofstream File(TempPath, std::ios::binary);
    File << boost::json::serialize(Addresses) << "\n";
    if (!File.flush())
      return entry_error{"cannot write " + TempPath};
  }
  if (std::rename(TempPath.c_str(), Settings.AddressFile.c_str()) != 0)
    return entry_error{"cannot write " + Settings.AddressFile};
  return done{};
}

} // namespace pollenstall
