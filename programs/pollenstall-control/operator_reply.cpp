/** @file operator_reply.cpp Converts outcomes of the decision thread to HTTP replies. */
#include "operator_reply_func.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {

namespace json = boost::json;

enum http_status : unsigned {
  HttpOk = 200,
  HttpBadRequest = 400,
  HttpConflict = 409,
  HttpMisdirected = 421,
  HttpServerError = 500,
  HttpUnavailable = 503
};

operator_reply jsonReply(unsigned Status, const json::object &Body) {
  return {Status, "application/json", json::serialize(Body)};
}

json::object errorObject(std::string_view Code, std::string_view Message) {
  return {{"error", {{"code", Code}, {"message", Message}}}};
}

operator_reply replyToVerdict(const change_accepted &Verdict, bool Repeated) {
  return jsonReply(HttpOk, {{"revision", Verdict.Revision.value()}, {"repeated", Repeated}});
}

operator_reply replyToVerdict(const change_conflict &Verdict, bool Repeated) {
  json::object Body = errorObject("conflict", "another change was accepted first");
  Body["revision"] = Verdict.Current.value();
  Body["repeated"] = Repeated;
  return jsonReply(HttpConflict, Body);
}

operator_reply replyToVerdict(const change_invalid &Verdict, bool Repeated) {
  json::object Body = errorObject("invalid", "the declaration is not valid");
  boost::json::error_code Error;
  Body["error"].as_object()["details"] = json::parse(Verdict.Details, Error);
  Body["repeated"] = Repeated;
  return jsonReply(HttpBadRequest, Body);
}

operator_reply replyToVerdict(const drain_recorded &Verdict, bool Repeated) {
  return jsonReply(HttpOk, {{"version", Verdict.Version}, {"repeated", Repeated}});
}

operator_reply replyToVerdict(const drains_full & /*Verdict*/, bool Repeated) {
  json::object Body = errorObject("too_many_drains", "too many backend servers are drained");
  Body["repeated"] = Repeated;
  return jsonReply(HttpConflict, Body);
}

operator_reply replyToAnswer(const change_answer &Answer) {
  return std::visit([&](const auto &Verdict) { return replyToVerdict(Verdict, Answer.Repeated); },
                    Answer.Verdict);
}

operator_reply replyToAnswer(const change_id_reused & /*Answer*/) {
  return jsonReply(HttpConflict,
                   errorObject("change_id_reused", "the id was used for another change"));
}

operator_reply replyToAnswer(const suspects_updated & /*Answer*/) {
  return jsonReply(HttpOk, {{"done", true}});
}

/// The version is left out, so that a repeat gets the same reply as the first command.
operator_reply replyToAnswer(const evacuation_recorded & /*Answer*/) {
  return jsonReply(HttpOk, {{"done", true}});
}

operator_reply replyToAnswer(const evacuation_refused &Answer) {
  const bool TooMany = Answer.Reason == evacuation_refusal::TooMany;
  return jsonReply(HttpBadRequest,
                   errorObject(TooMany ? "too_many_evacuations" : "bad_request",
                               TooMany ? "too many failure domains are evacuated"
                                       : "the name of the failure domain is not valid"));
}

template <typename Other> operator_reply replyToAnswer(const Other & /*Answer*/) {
  return jsonReply(HttpServerError,
                   errorObject("internal", "unexpected answer to an operator's command"));
}

operator_reply replyToOutcome(const outcome_unknown & /*Outcome*/) {
  return jsonReply(HttpUnavailable,
                   errorObject("unknown_outcome", "send the same change id again"));
}

operator_reply replyToOutcome(const not_leader &Outcome) {
  json::object Body = errorObject("not_leader", "this host does not lead; nothing was done");
  Body["leader"] = Outcome.OperatorUrl.empty() ? json::value() : json::value(Outcome.OperatorUrl);
  return jsonReply(HttpMisdirected, Body);
}

operator_reply replyToOutcome(const request_refused &Outcome) {
  const unsigned Status = Outcome.Code == "overloaded" ? HttpUnavailable : HttpConflict;
  return jsonReply(Status, errorObject(Outcome.Code, Outcome.Message));
}

operator_reply replyToOutcome(const control_answer &Outcome) {
  return std::visit([](const auto &Answer) { return replyToAnswer(Answer); }, Outcome);
}

operator_reply replyToOutcome(const membership_changed & /*Outcome*/) {
  return jsonReply(HttpOk, {{"done", true}});
}

operator_reply replyToOutcome(const backend_recorded & /*Outcome*/) {
  return jsonReply(HttpOk, {{"done", true}});
}

operator_reply replyToOutcome(const std::string &Outcome) {
  return {HttpOk, "application/json", Outcome};
}

} // namespace

operator_reply replyTo(const control_outcome &Outcome) {
  return std::visit([](const auto &Alternative) { return replyToOutcome(Alternative); }, Outcome);
}

operator_reply badRequest(std::string_view Message) {
  return jsonReply(HttpBadRequest, errorObject("bad_request", Message));
}

} // namespace pollenstall
