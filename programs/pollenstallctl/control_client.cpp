/** @file control_client.cpp Retry rounds over the control hosts. */
#include "control_client_base.h"

#include "json_text_func.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <thread>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MaxTimePerHost{5'000};
constexpr milliseconds PauseBetweenRounds{200};
constexpr int MaxRedirects = 4; ///< Bounds redirects between hosts that name each other.

constexpr unsigned int MisdirectedRequest = 421;
constexpr unsigned int ServiceUnavailable = 503;
constexpr unsigned int FirstServerError = 500;

/// @return The parsed body, null if it is empty, or nothing if it is not JSON.
std::optional<boost::json::value> parseBody(const std::string &Body) {
  if (Body.empty())
    return boost::json::value();
  boost::system::error_code Error;
  boost::json::value Value = boost::json::parse(Body, Error);
  return Error ? std::nullopt : std::optional(std::move(Value));
}

} // namespace

control_client::control_client(std::vector<http_url> ControlUrls, std::string BearerKey,
                               milliseconds Limit)
    : Hosts(std::move(ControlUrls)), Key(std::move(BearerKey)),
      Deadline(std::chrono::steady_clock::now() + Limit) {}

control_result control_client::get(const std::string &Path) {
  return call({"GET", Path, "", Key}, true);
}

control_result control_client::post(const std::string &Path, const boost::json::value &Body) {
  return call({"POST", Path, boost::json::serialize(Body), Key}, false);
}

bool control_client::preferHost(const std::string &Url) {
  const auto Parsed = parseUrl(Url);
  if (Parsed)
    Leader = Parsed;
  return Parsed.has_value();
}

milliseconds control_client::remaining() const {
  const auto TimeLeft =
      std::chrono::duration_cast<milliseconds>(Deadline - std::chrono::steady_clock::now());
  return std::max(TimeLeft, milliseconds(0));
}

bool control_client::waitBeforeRetry() const {
  std::this_thread::sleep_for(std::min(PauseBetweenRounds, remaining()));
  return remaining() > milliseconds(0);
}

control_result control_client::call(const http_request &Request, bool FailIfUnconnected) {
  Failure = {false, "no control host was tried"};
  do {
    round_state Round;
    if (tryRound(Request, Round))
      return std::move(Round.Response);
    if (FailIfUnconnected && !Round.AnyConnected)
      break;
  } while (waitBeforeRetry());
  return Failure;
}

bool control_client::tryRound(const http_request &Request, round_state &Round) {
  if (Leader && followRedirects(Request, Round))
    return true;
  for (const http_url &Host : Hosts) {
    const host_outcome Outcome = tryHost(Host, Request, Round);
    if (Outcome == host_outcome::Conclusive)
      return true;
    if (Outcome == host_outcome::FollowRedirect && followRedirects(Request, Round))
      return true;
  }
  return false;
}

bool control_client::followRedirects(const http_request &Request, round_state &Round) {
  for (int Redirect = 0; Redirect < MaxRedirects && Leader; ++Redirect) {
    const http_url Target = *Leader;
    Leader.reset();
    if (tryHost(Target, Request, Round) == host_outcome::Conclusive) {
      Leader = Target;
      return true;
    }
  }
  return false;
}

control_client::host_outcome
control_client::tryHost(const http_url &Url, const http_request &Request, round_state &Round) {
  const milliseconds Limit = std::min(MaxTimePerHost, remaining());
  if (Limit == milliseconds(0))
    return host_outcome::TryNext;
  const auto Result = sendRequest(Url, Request, Limit);
  if (succeeded(Result)) {
    Round.AnyConnected = true;
    return classifyResponse(valueOf(Result), Round);
  }
  const bool ResponseLost = errorOf(Result).Kind == http_failure_kind::ResponseLost;
  Round.AnyConnected = Round.AnyConnected || ResponseLost;
  recordFailure(errorOf(Result).Message, ResponseLost);
  return host_outcome::TryNext;
}

control_client::host_outcome control_client::classifyResponse(const http_response &Response,
                                                              round_state &Round) {
  const auto Body = parseBody(Response.Body);
  if (!Body) {
    recordFailure("the response with status " + std::to_string(Response.Status) + " is not JSON",
                  true);
    return host_outcome::TryNext;
  }
  if (Response.Status == MisdirectedRequest) {
    Leader = parseUrl(textAt(*Body, "leader"));
    recordFailure("no control host leads", false);
    return Leader ? host_outcome::FollowRedirect : host_outcome::TryNext;
  }
  if (Response.Status >= FirstServerError) {
    // Among server errors, only a 503 without unknown_outcome means that no change was accepted.
    const bool Refused =
        Response.Status == ServiceUnavailable && errorCode(*Body) != "unknown_outcome";
    recordFailure("status " + std::to_string(Response.Status) + ": " + errorMessage(*Body),
                  !Refused);
    return host_outcome::TryNext;
  }
  Round.Response = {Response.Status, *Body};
  return host_outcome::Conclusive;
}

void control_client::recordFailure(std::string Message, bool MayBeAccepted) {
  Failure.Message = std::move(Message);
  // After a lost response, a later refusal does not prove that the change was not accepted.
  Failure.MayBeAccepted = Failure.MayBeAccepted || MayBeAccepted;
}

} // namespace pollenstall
