/** @file backend_calls.cpp Attempts, cache, state, orders, faults and counts. */
#include "fake_backend/stream_answer_base.h"
#include "program/program.h"

#include <charconv>
#include <map>
#include <utility>

namespace pollenstall {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::string_view AttemptsPath = "/v1/attempts/";
constexpr std::string_view StreamSuffix = "/stream";
constexpr std::string_view HandlePrefix = "kv-";

std::string_view targetOf(const backend_request &Request) {
  return {Request.target().data(), Request.target().size()};
}

/// Attempts have slashes, which some clients send as %2F.
std::string decoded(std::string_view Path) {
  std::string Text;
  for (std::size_t Place = 0; Place < Path.size(); ++Place) {
    unsigned int Byte = 0;
    const char *First = Path.data() + Place + 1;
    if (Path[Place] == '%' && Place + 2 < Path.size() &&
        std::from_chars(First, First + 2, Byte, 16).ptr == First + 2) {
      Text += static_cast<char>(Byte);
      Place += 2;
    } else {
      Text += Path[Place];
    }
  }
  return Text;
}

const char *stateName(job_state State) {
  switch (State) {
  case job_state::Waiting:
    return "waiting";
  case job_state::Prefill:
    return "prefill";
  case job_state::Decode:
    return "decode";
  default:
    return "finished";
  }
}

json::array textArray(const std::vector<std::string> &Texts) {
  return json::array(Texts.begin(), Texts.end());
}

json::object countsOf(const std::map<std::string, std::int64_t> &Counts) {
  json::object Object;
  for (const auto &[Name, Count] : Counts)
    Object[Name] = Count;
  return Object;
}

/// @return The body's object; an empty one where it has none.
json::object objectOf(const backend_request &Request) {
  json::error_code Error;
  json::value Value = json::parse(Request.body(), Error);
  return !Error && Value.is_object() ? std::move(Value.get_object()) : json::object();
}

std::string textOf(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->get_string()) : std::string();
}

std::int64_t numberOf(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_int64() ? Value->get_int64() : 0;
}

json::object orderJson(const engine_order &Order) {
  return {{"fence", Order.Fence},
          {"order", Order.Order},
          {"model", Order.Model},
          {"version", Order.Version},
          {"role", Order.Role}};
}

} // namespace

bool backend_server::handleCall(const session_ptr &Session, const backend_request &Request) {
  const std::string_view Target = targetOf(Request);
  if (Request.method() == http::verb::get)
    return handleGet(Session, Request, Target);
  if (Request.method() == http::verb::post)
    return handlePost(Session, Request, Target);
  if (Settings.Kind == "plain" || !Target.starts_with(AttemptsPath))
    return false;
  handleAttempt(Session, Request);
  return true;
}

bool backend_server::handleGet(const session_ptr &Session, const backend_request &Request,
                               std::string_view Target) {
  using body_maker = json::object (backend_server::*)() const;
  static const std::map<std::string_view, body_maker> Bodies{
      {"/v1/models", &backend_server::modelsJson},
      {"/v1/load", &backend_server::loadJson},
      {"/v1/state", &backend_server::stateJson},
      {"/v1/attempts", &backend_server::attemptsJson}};
  if (Target == "/stats") {
    Session->reply(jsonResponse(http::status::ok, statsJson()));
    return true;
  }
  if (Settings.Kind == "plain")
    return false;
  if (const auto Found = Bodies.find(Target); Found != Bodies.end())
    Session->reply(jsonResponse(http::status::ok, (this->*Found->second)()));
  else if (Target == "/v1/cache-events")
    handleCacheEvents(Session, Request);
  else if (Target.starts_with(AttemptsPath))
    handleAttempt(Session, Request);
  else
    return false;
  return true;
}

bool backend_server::handlePost(const session_ptr &Session, const backend_request &Request,
                                std::string_view Target) {
  using call_handler = void (backend_server::*)(const session_ptr &, const backend_request &);
  static const std::map<std::string_view, call_handler> Handlers{
      {"/v1/orders", &backend_server::handleOrder},
      {"/v1/kv/export", &backend_server::handleExport},
      {"/v1/kv/import", &backend_server::handleImport}};
  if (Target == "/faults") {
    handleFaults(Session, Request);
    return true;
  }
  const auto Found = Handlers.find(Target);
  if (Settings.Kind == "plain" || Found == Handlers.end())
    return false;
  (this->*Found->second)(Session, Request);
  return true;
}

void backend_server::handleAttempt(const session_ptr &Session, const backend_request &Request) {
  std::string Attempt = decoded(targetOf(Request).substr(AttemptsPath.size()));
  if (Request.method() == http::verb::delete_ && Settings.Cancels) {
    cancelAttempt(Session, Attempt);
    return;
  }
  const auto NotFound = [&Session] {
    Session->reply(errorResponse(http::status::not_found, "not_found", "cannot do that", false));
  };
  if (Request.method() != http::verb::get || !Attempt.ends_with(StreamSuffix) ||
      !Settings.Resumes) {
    NotFound();
    return;
  }
  Attempt.resize(Attempt.size() - StreamSuffix.size());
  const job_ptr Job = Engine.find(Attempt);
  const auto LastEvent = Request["Last-Event-ID"];
  std::int64_t After = 0;
  std::from_chars(LastEvent.data(), LastEvent.data() + LastEvent.size(), After);
  if (!Job || Job->State == job_state::Cancelled || After < 0 || After >= eventCount(Job->Answer)) {
    NotFound();
    return;
  }
  std::make_shared<stream_answer>(*this, Session, Job, After + 1)->start(echoOf(Attempt));
}

void backend_server::cancelAttempt(const session_ptr &Session, const std::string &Attempt) {
  if (strikes(Faults.DropCancelNext)) {
    Session->close();
    return;
  }
  const auto Before = Engine.cancel(Attempt, boot_clock::now());
  const char *State = "unknown";
  if (Before)
    State = *Before == job_state::Finished ? "finished" : "cancelled";
  Session->reply(jsonResponse(http::status::ok, {{"state", State}}));
}

void backend_server::handleCacheEvents(const session_ptr &Session, const backend_request &Request) {
  const auto LastEvent = Request["Last-Event-ID"];
  std::uint64_t After = 0;
  std::from_chars(LastEvent.data(), LastEvent.data() + LastEvent.size(), After);
  CacheReaders.push_back({Session, After});
  Session->openStream({});
  Session->writeEvents(": open\n\n", [] {});
}

void backend_server::handleOrder(const session_ptr &Session, const backend_request &Request) {
  const json::object Body = objectOf(Request);
  const engine_order Order{numberOf(Body, "fence"), textOf(Body, "order"), textOf(Body, "model"),
                           textOf(Body, "version"), textOf(Body, "role")};
  const auto Executed = Orders.execute(Order);
  if (succeeded(Executed)) {
    Session->reply(jsonResponse(http::status::ok, {{"fence", Orders.fence()}}));
    return;
  }
  switch (errorOf(Executed)) {
  case order_refusal::OldFence:
    Session->reply(jsonResponse(http::status::conflict, {{"fence", Orders.fence()}}));
    return;
  case order_refusal::NotSupported:
    Session->reply(errorResponse(http::status::not_found, "no_orders", "takes no orders", true));
    return;
  case order_refusal::Invalid:
    Session->reply(
        errorResponse(http::status::bad_request, "invalid_order", "load, unload or role", true));
  }
}

void backend_server::handleExport(const session_ptr &Session, const backend_request &Request) {
  const std::string Attempt = textOf(objectOf(Request), "attempt");
  const job_ptr Job = Engine.find(Attempt);
  if (!Settings.MovesCache || !Job || Job->ended()) {
    Session->reply(errorResponse(http::status::not_found, "not_found", "holds no cache", true));
    return;
  }
  const std::int64_t Blocks = Job->Prefilled / Settings.BlockTokens;
  const std::string Handle = std::string(HandlePrefix) + std::to_string(Blocks) + "-" + Attempt;
  Session->reply(jsonResponse(http::status::ok, {{"handle", Handle}, {"blocks", Blocks}}));
}

void backend_server::handleImport(const session_ptr &Session, const backend_request &Request) {
  const json::object Body = objectOf(Request);
  const std::string Handle = textOf(Body, "handle");
  std::int64_t Blocks = -1;
  if (Handle.starts_with(HandlePrefix))
    std::from_chars(Handle.data() + HandlePrefix.size(), Handle.data() + Handle.size(), Blocks);
  if (!Settings.MovesCache || Blocks < 0) {
    Session->reply(errorResponse(http::status::bad_request, "invalid_handle", "no handle", true));
    return;
  }
  const std::string Attempt = textOf(Body, "attempt");
  if (!Engine.importBlocks(Attempt.empty() ? Handle : Attempt, Blocks, boot_clock::now())) {
    Session->reply(errorResponse(http::status::service_unavailable, "no_memory", "no room", true));
    return;
  }
  Session->reply(jsonResponse(http::status::ok, {{"handle", Handle}, {"blocks", Blocks}}));
}

void backend_server::handleFaults(const session_ptr &Session, const backend_request &Request) {
  const auto Applied = applyFaults(Faults, Request.body());
  if (!succeeded(Applied)) {
    Session->reply(
        errorResponse(http::status::bad_request, "invalid_faults", errorOf(Applied).Message, true));
    return;
  }
  logEvent(log_level::Info, "faults", {{"plan", Request.body()}});
  Session->reply(jsonResponse(http::status::ok, {}), [this] { strikeAtOnce(); });
}

json::object backend_server::modelsJson() const {
  json::array Data;
  for (const std::string &Model : Orders.models())
    Data.push_back(json::object{{"id", Model}, {"object", "model"}, {"owned_by", Settings.Fleet}});
  return {{"object", "list"}, {"data", Data}};
}

json::object backend_server::attemptsJson() const {
  json::array List;
  for (const job_ptr &Job : Engine.listed())
    List.push_back(json::object{
        {"attempt", Job->Attempt}, {"state", stateName(Job->State)}, {"blocks", Job->blocks()}});
  return {{"attempts", List}};
}

json::object backend_server::loadJson() const {
  const engine_load Load = Loads.empty() ? engine_load{} : Loads.front().second;
  return {{"sequence", Load.Sequence},      {"running", Load.Running + PlainRunning},
          {"waiting", Load.Waiting},        {"waiting_prefill_tokens", Load.WaitingPrefillTokens},
          {"used_blocks", Load.UsedBlocks}, {"cached_blocks", Load.CachedBlocks}};
}

json::object backend_server::stateJson() const {
  return {{"models", textArray(Orders.models())},
          {"role", Orders.role()},
          {"fence", Orders.fence()},
          {"incarnation", OwnIncarnation}};
}

json::object backend_server::statsJson() const {
  const engine_load Load = Engine.load();
  json::array Executed;
  for (const engine_order &Order : Orders.executed())
    Executed.push_back(orderJson(Order));
  return {{"incarnation", OwnIncarnation},
          {"starts", Starts},
          {"starts_by_attempt", countsOf(StartsByAttempt)},
          {"starts_by_key", countsOf(StartsByKey)},
          {"declined", Declined},
          {"events_sent", EventsSent},
          {"open_answers", OpenAnswers},
          {"running", Load.Running + PlainRunning},
          {"waiting", Load.Waiting},
          {"used_blocks", Load.UsedBlocks},
          {"cached_blocks", Load.CachedBlocks},
          {"cancels", Engine.cancels()},
          {"fence", Orders.fence()},
          {"orders", Executed}};
}

std::string backend_server::announcementJson() {
  json::object Labels;
  for (const std::string &Label : Settings.Labels)
    Labels[Label.substr(0, Label.find('='))] = Label.substr(Label.find('=') + 1);
  const json::object Body{
      {"fleet", Settings.Fleet},
      {"address", Address},
      {"incarnation", OwnIncarnation},
      {"sequence", ++AnnounceSequence},
      {"failure_domain", Settings.FailureDomain},
      {"service", Settings.Service},
      {"kind", Settings.Kind},
      {"labels", Labels},
      {"models", textArray(Orders.models())},
      {"capabilities",
       {{"priorities", Settings.Priorities},
        {"cancels", Settings.Cancels},
        {"resumes", Settings.Resumes},
        {"moves_cache", Settings.MovesCache},
        {"orders", Settings.Orders}}},
      {"memory", {{"blocks", Settings.Blocks}, {"block_tokens", Settings.BlockTokens}}},
      {"standing", Leaving ? "leaving" : "active"},
      {"load", loadJson()}};
  return json::serialize(Body);
}

} // namespace pollenstall
