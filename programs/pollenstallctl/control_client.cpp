/** @file control_client.cpp Rounds over the control hosts; what each reaction proves. */
#include "control_client_base.h"

#include "json_text_func.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <thread>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MaxTry{5'000};
constexpr milliseconds PauseBetweenRounds{200};
constexpr int MaxHints = 4; ///< Hosts that point at each other must not be followed for ever.

constexpr unsigned int MisdirectedRequest = 421;
constexpr unsigned int ServiceUnavailable = 503;
constexpr unsigned int FirstServerError = 500;

/// @return The body, or nothing where it is not JSON.
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

bool control_client::prefer(const std::string &Url) {
  const auto Parsed = parseUrl(Url);
  if (Parsed)
    Leader = Parsed;
  return Parsed.has_value();
}

milliseconds control_client::remaining() const {
  const auto Left =
      std::chrono::duration_cast<milliseconds>(Deadline - std::chrono::steady_clock::now());
  return std::max(Left, milliseconds(0));
}

bool control_client::pause() const {
  std::this_thread::sleep_for(std::min(PauseBetweenRounds, remaining()));
  return remaining() > milliseconds(0);
}

control_result control_client::call(const http_call &Call, bool GiveUpUnconnected) {
  Failure = {false, "no control host was tried"};
  do {
    round_state Round;
    if (tryRound(Call, Round))
      return std::move(Round.Answer);
    if (GiveUpUnconnected && !Round.AnyConnected)
      break;
  } while (pause());
  return Failure;
}

bool control_client::tryRound(const http_call &Call, round_state &Round) {
  if (Leader && followHints(Call, Round))
    return true;
  for (const http_url &Host : Hosts) {
    const reaction Reaction = tryHost(Host, Call, Round);
    if (Reaction == reaction::Definite)
      return true;
    if (Reaction == reaction::FollowHint && followHints(Call, Round))
      return true;
  }
  return false;
}

bool control_client::followHints(const http_call &Call, round_state &Round) {
  for (int Hint = 0; Hint < MaxHints && Leader; ++Hint) {
    const http_url Target = *Leader;
    Leader.reset();
    if (tryHost(Target, Call, Round) == reaction::Definite) {
      Leader = Target;
      return true;
    }
  }
  return false;
}

control_client::reaction control_client::tryHost(const http_url &Url, const http_call &Call,
                                                 round_state &Round) {
  const milliseconds Limit = std::min(MaxTry, remaining());
  if (Limit == milliseconds(0))
    return reaction::TryNext;
  const auto Result = exchange(Url, Call, Limit);
  if (succeeded(Result)) {
    Round.AnyConnected = true;
    return judge(valueOf(Result), Round);
  }
  const bool Lost = errorOf(Result).Kind == http_failure_kind::Lost;
  Round.AnyConnected = Round.AnyConnected || Lost;
  noteFailure(errorOf(Result).Message, Lost);
  return reaction::TryNext;
}

control_client::reaction control_client::judge(const http_answer &Answer, round_state &Round) {
  const auto Body = parseBody(Answer.Body);
  if (!Body) {
    noteFailure("an answer with status " + std::to_string(Answer.Status) + " is not JSON", true);
    return reaction::TryNext;
  }
  if (Answer.Status == MisdirectedRequest) {
    Leader = parseUrl(textAt(*Body, "leader"));
    noteFailure("no control host leads", false);
    return Leader ? reaction::FollowHint : reaction::TryNext;
  }
  if (Answer.Status >= FirstServerError) {
    // Only a plain 503 says that the change was not taken up.
    const bool Refused =
        Answer.Status == ServiceUnavailable && errorCode(*Body) != "unknown_outcome";
    noteFailure("status " + std::to_string(Answer.Status) + ": " + errorMessage(*Body), !Refused);
    return reaction::TryNext;
  }
  Round.Answer = {Answer.Status, *Body};
  return reaction::Definite;
}

void control_client::noteFailure(std::string Message, bool MayBeAccepted) {
  Failure.Message = std::move(Message);
  // Once an answer was lost, no later refusal to talk proves that the change was not accepted.
  Failure.MayBeAccepted = Failure.MayBeAccepted || MayBeAccepted;
}

} // namespace pollenstall
