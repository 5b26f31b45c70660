/** @file operator_api.cpp Converts operators' calls to operations of the decision thread. */
#include "operator_api_base.h"

#include "declaration/declaration.h"
#include "operator_reply_func.h"

#include <boost/json.hpp>

#include <algorithm>

namespace pollenstall {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds AnswerLimit{5000};
/// As JSON it stays within the operator server's limit on a body, and within the log's limit on an
/// entry.
constexpr std::size_t MaxTextBytes = 3U << 20U;
constexpr std::size_t MaxIdBytes = 128;
constexpr std::size_t MaxListedErrors = 20;
constexpr std::size_t MaxSummaryBytes = 400;
constexpr const char *ChangesPath = "/v1/changes/";

std::optional<json::object> objectOf(const std::string &Body) {
  json::error_code Error;
  json::value Value = json::parse(Body, Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  return std::move(Value.as_object());
}

std::optional<std::string> textAt(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  if (Value == nullptr || !Value->is_string())
    return std::nullopt;
  return std::string(Value->as_string());
}

std::optional<std::uint64_t> numberAt(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  if (Value == nullptr || !Value->is_int64() || Value->as_int64() < 0)
    return std::nullopt;
  return static_cast<std::uint64_t>(Value->as_int64());
}

bool isChangeId(const std::optional<std::string> &Text) {
  const auto IsPlain = [](unsigned char Byte) { return Byte > ' ' && Byte < 0x7F; };
  return Text && !Text->empty() && Text->size() <= MaxIdBytes &&
         std::all_of(Text->begin(), Text->end(), IsPlain);
}

std::string changeText(const control_state &State, const change_id &Id) {
  const answer_record *Recorded = State.findAnswer(Id);
  const auto *Accepted = Recorded ? std::get_if<change_accepted>(&Recorded->Verdict) : nullptr;
  const bool Drain = Recorded && std::holds_alternative<drain_recorded>(Recorded->Verdict);
  json::object Object;
  Object["known"] = Recorded != nullptr;
  Object["accepted"] = Accepted != nullptr || Drain;
  Object["revision"] = Accepted ? json::value(Accepted->Revision.value()) : json::value();
  return json::serialize(Object);
}

std::string historyText(const control_state &State) {
  json::array Changes;
  for (const history_record &Record : State.history())
    Changes.push_back({{"revision", Record.Revision.value()},
                       {"change_id", Record.Id.str()},
                       {"time_unix_ms", Record.Time.count()},
                       {"summary", Record.Summary}});
  return json::serialize(json::object{{"changes", std::move(Changes)}});
}

std::string suspectsText(const control_state &State) {
  json::array Suspects;
  for (const published_suspect &Suspect : State.suspects().published(wallClock()))
    Suspects.push_back(
        {{"request", toText(Suspect.Fingerprint)}, {"blocked_ms", Suspect.BlockedFor.count()}});
  return json::serialize(json::object{{"suspects", std::move(Suspects)}});
}

std::string declarationText(const control_state &State) {
  const declaration_record &Declared = State.declared();
  return json::serialize(
      json::object{{"revision", Declared.Revision.value()}, {"text", Declared.Text}});
}

} // namespace

validation_hook declarationValidation() {
  return [](const std::string &Text) {
    const auto Parsed = parseDeclaration(Text, "declaration.toml");
    if (succeeded(Parsed))
      return std::string();
    json::array Details;
    for (const declaration_error &Error : errorOf(Parsed)) {
      if (Details.size() >= MaxListedErrors)
        break;
      Details.push_back({{"file", Error.File},
                         {"line", Error.Line},
                         {"key", Error.Key},
                         {"allowed", Error.Allowed}});
    }
    return json::serialize(Details);
  };
}

std::string changeSummary(const std::string &From, const std::string &To) {
  const auto Old = parseDeclaration(From, "old");
  const auto New = parseDeclaration(To, "new");
  if (!succeeded(New))
    return {};
  const fleet_declaration Empty;
  std::string Text = toText(diff(succeeded(Old) ? valueOf(Old) : Empty, valueOf(New)));
  std::replace(Text.begin(), Text.end(), '\n', ';');
  if (Text.size() > MaxSummaryBytes)
    Text = Text.substr(0, MaxSummaryBytes) + "...";
  return Text;
}

operator_api::operator_api(control_core &ControlCore, validation_hook Check)
    : Core(ControlCore), Validate(std::move(Check)) {}

void operator_api::addRoutes(operator_server_builder &Server) {
  const auto Add = [&](const char *Method, const char *Path,
                       operator_reply (operator_api::*Handle)(const operator_call &)) {
    Server.route(Method, Path, operator_access::KeyNeeded,
                 [this, Handle](const operator_call &Call) { return (this->*Handle)(Call); });
  };
  Add("POST", "/v1/changes", &operator_api::postChange);
  Add("GET", ChangesPath, &operator_api::getChange);
  Add("GET", "/v1/declaration", &operator_api::getDeclaration);
  Add("GET", "/v1/history", &operator_api::getHistory);
  Add("GET", "/v1/status", &operator_api::getStatus);
  Add("POST", "/v1/drains", &operator_api::postDrain);
  Add("GET", "/v1/evacuations", &operator_api::getEvacuations);
  Add("POST", "/v1/evacuations", &operator_api::postEvacuation);
  Add("POST", "/v1/members", &operator_api::postMember);
  Add("GET", "/v1/suspects", &operator_api::getSuspects);
  Add("POST", "/v1/suspects", &operator_api::postSuspect);
}

operator_reply operator_api::ask(control_operation Operation) {
  return replyTo(Core.ask(std::move(Operation), AnswerLimit));
}

operator_reply operator_api::read(std::function<std::string(const control_state &)> Read) {
  return ask(read_state{std::move(Read)});
}

operator_reply operator_api::postChange(const operator_call &Call) {
  const auto Object = objectOf(Call.Body);
  const auto Id = Object ? textAt(*Object, "change_id") : std::nullopt;
  const auto Base = Object ? numberAt(*Object, "base_revision") : std::nullopt;
  auto Text = Object ? textAt(*Object, "text") : std::nullopt;
  if (!isChangeId(Id) || !Base || !Text)
    return badRequest("needs change_id (1 to 128 visible characters), base_revision and text");
  if (Text->size() > MaxTextBytes)
    return badRequest("text is larger than 3 MiB");
  apply_change Change{change_id(*Id), revision(*Base), std::move(*Text), {}, {}, wallClock()};
  Change.ValidationErrors = Validate(Change.Text);
  const auto Declared = Core.declared();
  if (Change.ValidationErrors.empty() && Declared->Revision == Change.Base)
    Change.Summary = changeSummary(Declared->Text, Change.Text);
  return ask(submit_command{std::move(Change)});
}

operator_reply operator_api::postDrain(const operator_call &Call) {
  const auto Object = objectOf(Call.Body);
  const auto Id = Object ? textAt(*Object, "change_id") : std::nullopt;
  const auto Backend = Object ? textAt(*Object, "backend") : std::nullopt;
  const json::value *Undo = Object ? Object->if_contains("undo") : nullptr;
  if (!isChangeId(Id) || !Backend || checkAddress(*Backend))
    return badRequest("needs change_id (1 to 128 visible characters) and backend as IP:port");
  if (Undo != nullptr && !Undo->is_bool())
    return badRequest("undo is true or false");
  return ask(submit_command{set_drain{change_id(*Id), backend_address(*Backend),
                                      Undo != nullptr && Undo->as_bool(), wallClock()}});
}

operator_reply operator_api::getEvacuations(const operator_call & /*Call*/) {
  return ask(get_evacuations{});
}

operator_reply operator_api::postEvacuation(const operator_call &Call) {
  const auto Object = objectOf(Call.Body);
  const auto Domain = Object ? textAt(*Object, "domain") : std::nullopt;
  const json::value *Undo = Object ? Object->if_contains("undo") : nullptr;
  if (!Domain || Domain->empty() || Domain->size() > MaxDomainNameBytes)
    return badRequest("needs domain, the name of a failure domain (1 to 255 bytes)");
  if (Undo != nullptr && !Undo->is_bool())
    return badRequest("undo is true or false");
  return ask(submit_command{set_evacuation{failure_domain_name(*Domain),
                                           Undo != nullptr && Undo->as_bool(), wallClock()}});
}

operator_reply operator_api::postMember(const operator_call &Call) {
  const auto Object = objectOf(Call.Body);
  const auto Action = Object ? textAt(*Object, "action") : std::nullopt;
  const auto Member = Object ? numberAt(*Object, "member") : std::nullopt;
  if (!Action || !Member)
    return badRequest("needs action (admit or remove) and member");
  if (*Action == "admit")
    return ask(admit_member{member_id(*Member)});
  if (*Action == "remove")
    return ask(remove_member{member_id(*Member)});
  return badRequest("action is admit or remove; a learner that has caught up votes by itself");
}

operator_reply operator_api::getSuspects(const operator_call & /*Call*/) {
  return read(suspectsText);
}

operator_reply operator_api::postSuspect(const operator_call &Call) {
  const auto Object = objectOf(Call.Body);
  const auto Request = Object ? textAt(*Object, "request") : std::nullopt;
  const auto High = Request ? parseFingerprint(*Request) : std::nullopt;
  if (!High)
    return badRequest("needs request, as the list of suspects names it");
  return ask(submit_command{clear_suspect{*High}});
}

operator_reply operator_api::getDeclaration(const operator_call & /*Call*/) {
  return read(declarationText);
}

operator_reply operator_api::getChange(const operator_call &Call) {
  const change_id Id(Call.Path.substr(std::string_view(ChangesPath).size()));
  return read([Id](const control_state &State) { return changeText(State, Id); });
}

operator_reply operator_api::getHistory(const operator_call & /*Call*/) {
  return read(historyText);
}

operator_reply operator_api::getStatus(const operator_call & /*Call*/) { return ask(get_status{}); }

} // namespace pollenstall
