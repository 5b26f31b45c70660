/** @file entry.cpp Builds the threads and joins them by rings. */
#include "entry_base.h"

#include "address/address.h"
#include "announcement_func.h"
#include "platform/platform.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <iterator>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds DumpLimit{2'000};
constexpr std::chrono::milliseconds PollPause{10};
/// After the last answer, for backend servers to confirm what was cancelled.
constexpr std::chrono::seconds CancelGrace{2};
/// Before the kill: for the last answers to be written.
constexpr std::chrono::milliseconds KillMargin{1'000};
/// The dispatcher ends what is left at the limit; its answers still have to be written.
constexpr std::chrono::seconds LastAnswers{1};
constexpr unsigned BadRequest = 400;
constexpr unsigned Unavailable = 503;

process_key newLife(const std::string &Host) {
  const auto Wall = std::chrono::system_clock::now().time_since_epoch();
  const auto Nanos = std::chrono::duration_cast<std::chrono::nanoseconds>(Wall).count();
  return {host_name(Host), incarnation(static_cast<std::uint64_t>(Nanos))};
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(File), {});
}

std::string withoutLineEnd(std::string Text) {
  while (!Text.empty() && (Text.back() == '\n' || Text.back() == '\r'))
    Text.pop_back();
  return Text;
}

void logListening(const char *What, const std::string &Address) {
  logEvent(log_level::Info, "listening", {{"what", std::string(What)}, {"address", Address}});
}

void logCall(const call_record &Record) {
  const bool Quiet = Record.Outcome == final_outcome::Complete;
  logEvent(Quiet ? log_level::Info : log_level::Warning, "request_ended",
           {{"request", Record.RequestId},
            {"send", Record.SendName},
            {"attempt", Record.Attempt},
            {"account", Record.Account},
            {"service", Record.Service},
            {"backend", Record.Backend},
            {"outcome", std::string(outcomeText(Record.Outcome))},
            {"reason", Record.Reason},
            {"field", Record.Field},
            {"prompt_tokens", Record.Prompt.value()},
            {"ms", Record.Took.count()},
            {"first_byte_ms", Record.FirstByteAfter ? Record.FirstByteAfter->count() : -1},
            {"longest_gap_ms", Record.LongestGap ? Record.LongestGap->count() : -1}});
}

} // namespace

entry::entry(entry_settings Wanted)
    : Settings(std::move(Wanted)), Self(newLife(Settings.Host)),
      Registry(std::make_shared<prometheus::Registry>()), Work(asio::make_work_guard(Io)) {}

entry::~entry() {
  Announcements.reset();
  Operators.reset();
  Gossip.reset();
  if (Decision)
    Decision->stop();
  Share.reset();
  stopRelay();
}

void entry::stopRelay() {
  if (!RelayThread.joinable())
    return;
  asio::post(Io, [this] { Relay->stop(); });
  Work.reset();
  RelayThread.join();
}

result<done, entry_error> entry::loadDeclaration(std::optional<fleet_declaration> &Into) const {
  if (Settings.DeclarationFile.empty())
    return done{};
  const auto Text = readFile(Settings.DeclarationFile);
  if (!Text)
    return entry_error{"cannot read " + Settings.DeclarationFile};
  auto Parsed = parseDeclaration(*Text, Settings.DeclarationFile);
  if (!succeeded(Parsed))
    return entry_error{toText(errorOf(Parsed))};
  Into = valueOf(std::move(Parsed));
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
    return entry_error{"the settings lack " + *Missing};
  decision_plan Plan;
  Plan.Backends = usesDirectory() ? backend_source::Control : backend_source::Gossip;
  if (usesPlatform())
    Plan.ReadDeclaration = platformDeclarationReader();
  Plan.RetryShare = Settings.RetryShare;
  Plan.RetryReserve = Settings.RetryReserve;
  Plan.RetryWindow = Settings.RetryWindow;
  Plan.Self = Self;
  Plan.Registry = Registry;
  auto Declared = loadDeclaration(Plan.Fixed);
  if (!succeeded(Declared))
    return Declared;
  const bool UsesControl = !Plan.Fixed;
  Decision = std::make_unique<decision_thread>(std::move(Plan));
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
  if (Share)
    Share->start();
  RelayThread = std::thread([this] { Io.run(); });
  return writeAddresses();
}

void entry::startControl() {
  Decision->useControl(
      control_link_builder(withPort(Settings.ControlAddresses, Settings.ControlPort),
                           Settings.Fleet)
          .process(Self, failure_domain_name(Settings.FailureDomain))
          .workAddress(Share ? Share->address() : std::string())
          .renewEvery(Settings.ControlRenew)
          .answerWithin(Settings.ControlAnswer)
          .connectWithin(Settings.ControlConnect)
          .onEvents([this] { Decision->wake(); })
          .start());
}

result<done, entry_error> entry::startWorkShare() {
  if (!usesDirectory())
    return done{};
  auto Created = work_share::create(Settings.Fleet, Self, Settings.WorkAddress);
  if (!succeeded(Created))
    return entry_error{errorOf(Created).Text};
  Share = std::move(valueOf(Created));
  Share->reports().onWake([this] { Decision->wake(); });
  Decision->useShare(*Share);
  logListening("work", Share->address());
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
    Options.Secret.Key = withoutLineEnd(*Key);
  }
  Options.Bind = peer_address(Settings.GossipAddress);
  Options.Identity.Self = Self;
  Options.Identity.Domain = failure_domain_name(Settings.FailureDomain);
  for (const std::string &Seed : Settings.GossipSeeds)
    Options.Identity.Seeds.emplace_back(Seed);
  Options.RandomSeed = Self.Life.value();
  auto Created = gossip_service::create(std::move(Options));
  if (!succeeded(Created))
    return entry_error{"cannot listen for gossip on " + Settings.GossipAddress};
  Gossip = std::move(valueOf(Created));
  Gossip->changes().onWake([this] { Decision->wake(); });
  Decision->useViews(Gossip->changes());
  logListening("gossip", Gossip->address().str());
  return done{};
}

result<done, entry_error> entry::startRelay() {
  Relay = relay_builder(Io, Decision->events())
              .attemptLists(Decision->attemptLists())
              .process(Self)
              .limits(limitsOf(Settings))
              .metrics(Registry)
              .interface(usesPlatform() ? platformCalls() : call_interface())
              .onCallEnd([this](const call_record &Record) { noteCallEnd(Record); })
              .build();
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
                     .start();
  if (!succeeded(Started))
    return entry_error{errorOf(Started).Text};
  Operators = std::move(valueOf(Started));
  logListening("operators", Operators->address());
  return done{};
}

result<done, entry_error> entry::startAnnouncements() {
  if (usesDirectory())
    return done{};
  std::string Hash;
  if (!Settings.FleetKeyFile.empty()) {
    const auto Key = readFile(Settings.FleetKeyFile);
    if (!Key)
      return entry_error{"cannot read " + Settings.FleetKeyFile};
    Hash = keyHash(withoutLineEnd(*Key));
  }
  auto Started = operator_server_builder(Settings.AnnouncementsAddress, Hash)
                     .route("POST", "/v1/announcements", operator_access::KeyNeeded,
                            [this](const operator_call &Call) { return takeAnnouncement(Call); })
                     .start();
  if (!succeeded(Started))
    return entry_error{errorOf(Started).Text};
  Announcements = std::move(valueOf(Started));
  {
    const std::lock_guard<std::mutex> Lock(AnnouncementGuard);
    AnnounceAddress = Announcements->address();
  }
  logListening("announcements", Announcements->address());
  return done{};
}

operator_reply entry::takeAnnouncement(const operator_call &Call) {
  auto Read = readAnnouncement(Call.Body, Settings.Fleet);
  if (!succeeded(Read)) {
    const announcement_fault &Fault = errorOf(Read);
    const call_error Error = invalidField(Fault.Field, Fault.Field + " " + Fault.Message);
    return {BadRequest, "application/json", errorBody(Error)};
  }
  const std::lock_guard<std::mutex> Lock(AnnouncementGuard);
  if (!Gossip->announcements().push(valueOf(std::move(Read))))
    return {Unavailable, "application/json", "{}"};
  return {200, "application/json", announceTo()};
}

std::string entry::announceTo() const {
  boost::json::array Addresses;
  if (!AnnounceAddress.empty())
    Addresses.emplace_back(AnnounceAddress);
  for (const std::string &Peer : Settings.AnnouncementPeers)
    Addresses.emplace_back(Peer);
  return boost::json::serialize(boost::json::object{{"announce_to", std::move(Addresses)}});
}

result<done, entry_error> entry::writeAddresses() const {
  if (Settings.AddressFile.empty())
    return done{};
  boost::json::object Addresses{{"callers", CallersAddress}, {"operators", Operators->address()}};
  if (Announcements)
    Addresses["announcements"] = Announcements->address();
  if (Gossip)
    Addresses["gossip"] = Gossip->address().str();
  if (Share)
    Addresses["work"] = Share->address();
  // Renamed into place, so that whoever waits for the file never reads half of it.
  const std::string Draft = Settings.AddressFile + ".new";
  {
    std::ofstream File(Draft, std::ios::binary);
    File << boost::json::serialize(Addresses) << "\n";
    if (!File.flush())
      return entry_error{"cannot write " + Draft};
  }
  if (std::rename(Draft.c_str(), Settings.AddressFile.c_str()) != 0)
    return entry_error{"cannot write " + Settings.AddressFile};
  return done{};
}

std::optional<std::string> entry::dumpRelay(std::chrono::milliseconds Limit) {
  auto Answer = std::make_shared<std::promise<std::string>>();
  std::future<std::string> Waiting = Answer->get_future();
  asio::post(Io, [this, Answer] { Answer->set_value(Relay->dump()); });
  if (Waiting.wait_for(Limit) != std::future_status::ready)
    return std::nullopt;
  return Waiting.get();
}

std::string entry::dump() {
  // A thread that does not answer is itself what the operator looks for.
  const std::string Silent = R"("no answer")";
  const std::string Membership = Gossip ? Gossip->dump() : std::string("null");
  return R"({"process":{"host":")" + Self.Host.str() + R"(","incarnation":)" +
         std::to_string(Self.Life.value()) + R"(},"relay":)" +
         dumpRelay(DumpLimit).value_or(Silent) + R"(,"decisions":)" +
         Decision->dump(DumpLimit).value_or(Silent) + R"(,"membership":)" +
         (Membership.empty() ? Silent : Membership) + "}";
}

void entry::noteCallEnd(const call_record &Record) {
  const bool Admitted = !Record.RequestId.empty();
  if (Admitted && Record.Reason == reasonText(failure_reason::ShuttingDown))
    CutOff = true;
  logCall(Record);
}

std::size_t entry::openCalls() {
  auto Answer = std::make_shared<std::promise<std::size_t>>();
  std::future<std::size_t> Waiting = Answer->get_future();
  asio::post(Io, [this, Answer] { Answer->set_value(Relay->openCalls()); });
  return Waiting.get();
}

void entry::waitForCalls(mono_time Until, const std::function<std::size_t()> &Count) {
  while (Count() > 0 && boot_clock::now() < Until)
    std::this_thread::sleep_for(PollPause);
}

exit_code entry::shutDown() {
  logEvent(log_level::Info, "stopping");
  Stopping = true;
  const mono_time Asked = boot_clock::now();
  const mono_time Killed =
      Settings.KillAfter.count() > 0 ? Asked + Settings.KillAfter - KillMargin : mono_time::max();
  if (Settings.DrainTime.count() > 0) {
    asio::post(Io, [this] { Relay->beginDrain(); });
    std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                  std::min<mono_span>(Settings.DrainTime, Killed - Asked));
  }
  asio::post(Io, [this] { Relay->beginStop(); });
  const mono_time Limit = std::min(boot_clock::now() + Settings.ShutdownLimit, Killed);
  Decision->beginShutdown(Limit - boot_clock::now());
  waitForCalls(Limit + LastAnswers, [this] { return openCalls(); });
  waitForCalls(boot_clock::now() + CancelGrace, [this] { return Decision->abandoned(); });
  if (Gossip)
    Gossip->stop();
  Decision->stop();
  stopRelay();
  const exit_code Code = CutOff ? exit_code::ShutdownLimit : exit_code::Ok;
  logEvent(log_level::Info, "stopped", {{"exit_code", static_cast<std::int64_t>(Code)}});
  return Code;
}

} // namespace pollenstall
