/** @file backend_calls.cpp Handlers for attempts, KV cache, state, orders, faults and statistics.
 */
#include "fake_backend/answer_stream_base.h"
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

std::string_view requestTarget(const backend_request &Request) {
  return {Request.target().data(), Request.target().size()};
}

/// Decodes percent-encoding: attempt names contain slashes, which some clients send as %2F.
std::string percentDecoded(std::string_view Path) {
  std::string Text;
  for (std::size_t Position = 0; Position < Path.size(); ++Position) {
    unsigned int Byte = 0;
    const char *First = Path.data() + Position + 1;
    if (Path[Position] == '%' && Position + 2 < Path.size() &&
        std::from_chars(First, First + 2, Byte, 16).ptr == First + 2) {
      Text += static_cast<char>(Byte);
      Position += 2;
    } else {
      Text += Path[Position];
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

json::array jsonStringArray(const std::vector<std::string> &Strings) {
  return json::array(Strings.begin(), Strings.end());
}

json::object countsObject(const std::map<std::string, std::int64_t> &Counts) {
  json::object Object;
  for (const auto &[Name, Count] : Counts)
    Object[Name] = Count;
  return Object;
}

/// Parses the body. @return Its JSON object, or an empty one if the body is not a JSON object.
json::object parseBodyObject(const backend_request &Request) {
  json::error_code Error;
  json::value Value = json::parse(Request.body(), Error);
  return !Error && Value.is_object() ? std::move(Value.get_object()) : json::object();
}

std::string stringField(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->get_string()) : std::string();
}

std::int64_t integerField(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_int64() ? Value->get_int64() : 0;
}

json::object orderObject(const engine_order &Order) {
  return {{"fence", Order.Fence},
          {"order", Order.Command},
          {"model", Order.Model},
          {"version", Order.Version},
          {"role", Order.Role}};
}

} // namespace

bool backend_server::handleCall(const session_ptr &Session, const backend_request &Request) {
  const std::string_view Target = requestTarget(Request);
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
  std::string Attempt = percentDecoded(requestTarget(Request).substr(AttemptsPath.size()));
  if (Request.method() == http::verb::delete_ && Settings.Cancels) {
    cancelAttempt(Session, Attempt);
    return;
  }
  const auto NotFound = [&Session] {
    Session->reply(errorResponse(http::status::not_found, "not_found",
                                 "the attempt cannot be resumed or cancelled", false));
  };
  if (Request.method() != http::verb::get || !Attempt.ends_with(StreamSuffix) ||
      !Settings.Resumes) {
    NotFound();
    return;
  }
  Attempt.resize(Attempt.size() - StreamSuffix.size());
  const job_ptr Job = Engine.find(Attempt);
  const auto LastEvent = Request["Last-Event-ID"];
  std::int64_t LastSeenEvent = 0;
  std::from_chars(LastEvent.data(), LastEvent.data() + LastEvent.size(), LastSeenEvent);
  if (!Job || Job->State == job_state::Cancelled || LastSeenEvent < 0 ||
      LastSeenEvent >= eventCount(Job->Answer)) {
    NotFound();
    return;
  }
  std::make_shared<answer_stream>(*this, Session, Job, LastSeenEvent + 1)
      ->start(attemptToEcho(Attempt));
}

void backend_server::cancelAttempt(const session_ptr &Session, const std::string &Attempt) {
  if (consumeFault(Faults.DropCancelNext)) {
    Session->close();
    return;
  }
  const auto PreviousState = Engine.cancel(Attempt, boot_clock::now());
  const char *State = "unknown";
  if (PreviousState)
    State = *PreviousState == job_state::Finished ? "finished" : "cancelled";
  Session->reply(jsonResponse(http::status::ok, {{"state", State}}));
}

void backend_server::handleCacheEvents(const session_ptr &Session, const backend_request &Request) {
  const auto LastEvent = Request["Last-Event-ID"];
  std::uint64_t LastSeenEvent = 0;
  std::from_chars(LastEvent.data(), LastEvent.data() + LastEvent.size(), LastSeenEvent);
  CacheSubscribers.push_back({Session, LastSeenEvent});
  Session->openStream({});
  Session->writeEvents(": open\n\n", [] {});
}

void backend_server::handleOrder(const session_ptr &Session, const backend_request &Request) {
  const json::object Body = parseBodyObject(Request);
  const engine_order Order{integerField(Body, "fence"), stringField(Body, "order"),
                           stringField(Body, "model"), stringField(Body, "version"),
                           stringField(Body, "role")};
  const auto Executed = OrderExecutor.execute(Order);
  if (succeeded(Executed)) {
    Session->reply(jsonResponse(http::status::ok, {{"fence", OrderExecutor.fence()}}));
    return;
  }
  switch (errorOf(Executed)) {
  case order_refusal::StaleFence:
    Session->reply(jsonResponse(http::status::conflict, {{"fence", OrderExecutor.fence()}}));
    return;
  case order_refusal::NotSupported:
    Session->reply(errorResponse(http::status::not_found, "no_orders",
                                 "the engine does not support orders", true));
    return;
  case order_refusal::Invalid:
    Session->reply(errorResponse(http::status::bad_request, "invalid_order",
                                 "the order must be load, unload or role", true));
  }
}

void backend_server::handleExport(const session_ptr &Session, const backend_request &Request) {
  const std::string Attempt = stringField(parseBodyObject(Request), "attempt");
  const job_ptr Job = Engine.find(Attempt);
  if (!Settings.MovesCache || !Job || Job->ended()) {
    Session->reply(errorResponse(http::status::not_found, "not_found",
                                 "no KV cache to export for this attempt", true));
    return;
  }
  const std::int64_t Blocks = Job->PrefilledTokens / Settings.BlockTokens;
  const std::string Handle = std::string(HandlePrefix) + std::to_string(Blocks) + "-" + Attempt;
  Session->reply(jsonResponse(http::status::ok, {{"handle", Handle}, {"blocks", Blocks}}));
}

void backend_server::handleImport(const session_ptr &Session, const backend_request &Request) {
  const json::object Body = parseBodyObject(Request);
  const std::string Handle = stringField(Body, "handle");
  std::int64_t Blocks = -1;
  if (Handle.starts_with(HandlePrefix))
    std::from_chars(Handle.data() + HandlePrefix.size(), Handle.data() + Handle.size(), Blocks);
  if (!Settings.MovesCache || Blocks < 0) {
    Session->reply(errorResponse(http::status::bad_request, "invalid_handle",
                                 "the KV cache cannot be imported: invalid handle or not supported",
                                 true));
    return;
  }
  const std::string Attempt = stringField(Body, "attempt");
  if (!Engine.importBlocks(Attempt.empty() ? Handle : Attempt, Blocks, boot_clock::now())) {
    Session->reply(errorResponse(http::status::service_unavailable, "no_memory",
                                 "not enough KV memory for the import", true));
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
  Session->reply(jsonResponse(http::status::ok, {}), [this] { applyImmediateFaults(); });
}

json::object backend_server::modelsJson() const {
  json::array Data;
  for (const std::string &Model : OrderExecutor.models())
    Data.push_back(json::object{{"id", Model}, {"object", "model"}, {"owned_by", Settings.Fleet}});
  return {{"object", "list"}, {"data", Data}};
}

json::object backend_server::attemptsJson() const {
  json::array List;
  for (const job_ptr &Job : Engine.undeliveredJobs())
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
  return {{"models", jsonStringArray(OrderExecutor.models())},
          {"role", OrderExecutor.role()},
          {"fence", OrderExecutor.fence()},
          {"incarnation", ProcessIncarnation}};
}

json::object backend_server::statsJson() const {
  const engine_load Load = Engine.load();
  json::array Executed;
  for (const engine_order &Order : OrderExecutor.executed())
    Executed.push_back(orderObject(Order));
  return {{"incarnation", ProcessIncarnation},
          {"starts", Starts},
          {"starts_by_attempt", countsObject(StartsByAttempt)},
          {"starts_by_key", countsObject(StartsByKey)},
          {"declined", Declined},
          {"events_sent", EventsSent},
          {"open_answers", OpenAnswers},
          {"running", Load.Running + PlainRunning},
          {"waiting", Load.Waiting},
          {"used_blocks", Load.UsedBlocks},
          {"cached_blocks", Load.CachedBlocks},
          {"cancels", Engine.cancels()},
          {"fence", OrderExecutor.fence()},
          {"orders", Executed}};
}

std::string backend_server::announcementJson() {
  json::object Labels;
  for (const std::string &Label : Settings.Labels)
    Labels[Label.substr(0, Label.find('='))] = Label.substr(Label.find('=') + 1);
  const json::object Body{
      {"fleet", Settings.Fleet},
      {"address", Address},
      {"incarnation", ProcessIncarnation},
      {"sequence", ++AnnounceSequence},
      {"failure_domain", Settings.FailureDomain},
      {"service", Settings.Service},
      {"kind", Settings.Kind},
      {"labels", Labels},
      {"models", jsonStringArray(OrderExecutor.models())},
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
