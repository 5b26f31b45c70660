/** @file permit_client.cpp Known limits, held permits, and messages to issuers. */
#include "rate_limit/permit_client_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

/// Returns the limit as the issuer receives it; another value would count as a change.
requests_per_second rounded(requests_per_second Limit) {
  return requests_per_second(std::round(Limit.value() * RateLimitUnits) / RateLimitUnits);
}

/// Returns the low bits of a time in milliseconds.
std::uint32_t millisOf(mono_time Time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time.time_since_epoch()).count());
}

} // namespace

rate_limit_change permit_client::record(const rate_limit_answer &Answer, mono_time Now) {
  if (std::holds_alternative<unreadable_rate_limit>(Answer.Stated))
    return rate_limit_change::Unreadable;
  if (const auto *Limit = std::get_if<requests_per_second>(&Answer.Stated))
    return recordLimit(Answer, rounded(*Limit), Now);
  if (Answer.Permit.isSet() && limitOf(Answer.Backend.Incarnation))
    Messages.emplace_back(limit_report{Answer.Backend.Incarnation, std::nullopt, Answer.Permit});
  return rate_limit_change::None;
}

rate_limit_change permit_client::recordLimit(const rate_limit_answer &Answer,
                                             requests_per_second Limit, mono_time Now) {
  const incarnation ServerId = Answer.Backend.Incarnation;
  server &Server = Servers[ServerId];
  const bool IsNew = !Server.Limit;
  const bool Changed = Server.Limit != Limit;
  if (IsNew || Changed) {
    Server.Limit = Limit;
    Server.Confirmed = false;
    checkAt(Server, Now + Tuning.RequestInterval);
  }
  if (IsNew || Changed || Answer.Permit.isSet())
    Messages.emplace_back(limit_report{ServerId, Limit, Answer.Permit});
  if (IsNew)
    return rate_limit_change::Started;
  return Changed ? rate_limit_change::Changed : rate_limit_change::None;
}

rate_limit_change permit_client::receive(const permit_reply &Reply, mono_time Now) {
  const auto Found = Servers.find(Reply.Server);
  const bool IsCold = Found != Servers.end() && Found->second.coldAt(Now);
  const bool IsLimited = Found != Servers.end() && Found->second.Limit;
  // Without a limit at an unconfirmed server, the issuer has not received this entry's report yet.
  const bool Ends = IsLimited && !Reply.Limit && Found->second.Confirmed;
  if (!Reply.Limit && !IsCold) {
    if (Ends)
      Servers.erase(Found);
    return Ends ? rate_limit_change::Ended : rate_limit_change::None;
  }
  server &Server = Servers[Reply.Server];
  const bool Changed = Server.Limit != Reply.Limit;
  if (Reply.Limit || Ends) {
    Server.Limit = Reply.Limit;
    Server.Confirmed = Reply.Limit.has_value();
    checkAt(Server, Reply.Limit ? Now + Tuning.RefreshInterval : mono_time::max());
  }
  if (const auto Until = permitEnd(Server, Reply, Now)) {
    Server.Permits.push_back({Reply.Permit, *Until});
    // Waiting work may use more permits than one each RequestInterval.
    if (Reply.Cold)
      Server.AskFrom = Now;
  }
  if (Reply.RetryAfter.count() > 0) {
    Server.AskFrom = Now + Reply.RetryAfter;
    Server.Denied = !Reply.Queued;
  }
  if (Ends)
    return rate_limit_change::Ended;
  if (!Reply.Limit)
    return rate_limit_change::None;
  if (!IsLimited)
    return rate_limit_change::Started;
  return Changed ? rate_limit_change::Changed : rate_limit_change::None;
}

/**
 * Returns until when the reply's permit may be used; nothing without a usable permit. A permit for
 * a cold server was issued no earlier than the request was sent, plus its wait at the issuer, so it
 * is never used later than ColdPermitAge after its issue, however late the reply arrives.
 */
std::optional<mono_time> permit_client::permitEnd(const server &Server, const permit_reply &Reply,
                                                  mono_time Now) const {
  if (!Reply.Permit.isSet())
    return std::nullopt;
  mono_time Until = Now + Tuning.PermitLifetime;
  if (Reply.Cold) {
    const std::chrono::milliseconds Age(millisOf(Now) - Reply.Cold->AskedAt);
    Until = std::min(Until, Now - Age + Reply.Cold->Waited + Tuning.ColdPermitAge);
  } else if (Server.coldAt(Now) || Server.AskedAt == mono_time::min() ||
             Now - Server.AskedAt > Tuning.ReplyLifetime) {
    return std::nullopt;
  }
  return Until < Now ? std::nullopt : std::optional(Until);
}

void permit_client::setCold(incarnation ServerId, requests_per_second PerSecond, mono_time Until,
                            std::optional<mono_time> WarmUntil) {
  Servers[ServerId].Cold = cold_period{PerSecond, Until, WarmUntil};
}

void permit_client::setWarm(incarnation ServerId) {
  const auto Found = Servers.find(ServerId);
  if (Found == Servers.end())
    return;
  Found->second.Cold.reset();
  if (!Found->second.Limit)
    Servers.erase(Found);
}

std::size_t permit_client::limitedServers() const {
  return static_cast<std::size_t>(
      std::count_if(Servers.begin(), Servers.end(),
                    [](const auto &Item) { return Item.second.Limit.has_value(); }));
}

std::size_t permit_client::coldServers(mono_time Now) const {
  return static_cast<std::size_t>(std::count_if(
      Servers.begin(), Servers.end(), [Now](const auto &Item) { return Item.second.coldAt(Now); }));
}

std::optional<requests_per_second> permit_client::limitOf(incarnation Server) const {
  const auto Found = Servers.find(Server);
  return Found == Servers.end() ? std::nullopt : Found->second.Limit;
}

std::optional<mono_time> permit_client::coldUntil(incarnation Server, mono_time Now) const {
  const auto Found = Servers.find(Server);
  const bool IsCold = Found != Servers.end() && Found->second.coldAt(Now);
  return IsCold ? std::optional(Found->second.Cold->Until) : std::nullopt;
}

bool permit_client::isCold(incarnation Server, mono_time Now) const {
  return coldUntil(Server, Now).has_value();
}

bool permit_client::needsPermit(incarnation Server, mono_time Now) const {
  const auto Found = Servers.find(Server);
  return Found != Servers.end() && (Found->second.Limit || Found->second.coldAt(Now));
}

bool permit_client::hasPermit(incarnation ServerId, mono_time Now) const {
  const auto Found = Servers.find(ServerId);
  return Found != Servers.end() && !Found->second.Permits.empty() &&
         Found->second.Permits.back().Until >= Now;
}

bool permit_client::mayAsk(incarnation ServerId, mono_time Now) const {
  const auto Found = Servers.find(ServerId);
  return Found != Servers.end() && (Found->second.Limit || Found->second.coldAt(Now)) &&
         Found->second.AskFrom <= Now;
}

std::optional<mono_time> permit_client::deniedUntil(incarnation ServerId, mono_time Now) const {
  const auto Found = Servers.find(ServerId);
  const bool Denied = Found != Servers.end() && Found->second.Denied && Found->second.AskFrom > Now;
  return Denied ? std::optional(Found->second.AskFrom) : std::nullopt;
}

void permit_client::ask(incarnation ServerId, std::chrono::milliseconds Wait, mono_time Now) {
  if (!mayAsk(ServerId, Now))
    return;
  server &Server = Servers.at(ServerId);
  Server.AskedAt = Now;
  Server.AskFrom = Now + Tuning.RequestInterval;
  Server.Denied = false;
  permit_request Request{ServerId, Server.Limit, true, Wait};
  if (Server.coldAt(Now)) {
    Request.Cold = cold_statement{Server.Cold->PerSecond, std::nullopt, millisOf(Now)};
    if (Server.Cold->WarmUntil)
      Request.Cold->WarmAgo =
          std::chrono::floor<std::chrono::milliseconds>(Now - *Server.Cold->WarmUntil);
  }
  Messages.emplace_back(Request);
}

permit_stamp permit_client::take(incarnation ServerId, mono_time Now) {
  const auto Found = Servers.find(ServerId);
  if (Found == Servers.end())
    return {};
  std::deque<held_permit> &Permits = Found->second.Permits;
  while (!Permits.empty() && Permits.front().Until < Now)
    Permits.pop_front();
  if (Permits.empty())
    return {};
  const permit_stamp Stamp = Permits.front().Stamp;
  Permits.pop_front();
  if (Found->second.coldAt(Now))
    ++ColdPermitsUsed;
  return Stamp;
}

void permit_client::checkAt(server &Server, mono_time Time) {
  Server.CheckAt = Time;
  NextCheck = std::min(NextCheck, Time);
}

std::vector<permit_message> permit_client::takeMessages(mono_time Now) {
  if (NextCheck <= Now) {
    NextCheck = mono_time::max();
    for (auto &[ServerId, Server] : Servers) {
      if (!Server.Limit)
        continue;
      if (Server.CheckAt > Now) {
        checkAt(Server, Server.CheckAt);
      } else if (Server.Confirmed) {
        Messages.emplace_back(
            permit_request{ServerId, Server.Limit, false, std::chrono::milliseconds(0)});
        checkAt(Server, Now + Tuning.RefreshInterval);
      } else {
        Messages.emplace_back(limit_report{ServerId, Server.Limit, {}});
        checkAt(Server, Now + Tuning.RequestInterval);
      }
    }
  }
  return std::exchange(Messages, {});
}

std::optional<mono_time> permit_client::nextWake() const {
  if (!Messages.empty())
    return mono_time(); // They are due now.
  return NextCheck == mono_time::max() ? std::nullopt : std::optional(NextCheck);
}

} // namespace pollenstall
