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

} // namespace

rate_limit_change permit_client::record(const rate_limit_answer &Answer, mono_time Now) {
  if (std::holds_alternative<unreadable_rate_limit>(Answer.Stated))
    return rate_limit_change::Unreadable;
  if (const auto *Limit = std::get_if<requests_per_second>(&Answer.Stated))
    return recordLimit(Answer, rounded(*Limit), Now);
  if (Answer.Permit.isSet() && Servers.contains(Answer.Backend.Incarnation))
    Messages.emplace_back(limit_report{Answer.Backend.Incarnation, std::nullopt, Answer.Permit});
  return rate_limit_change::None;
}

rate_limit_change permit_client::recordLimit(const rate_limit_answer &Answer,
                                             requests_per_second Limit, mono_time Now) {
  const incarnation ServerId = Answer.Backend.Incarnation;
  const auto [Found, IsNew] = Servers.try_emplace(ServerId);
  server &Server = Found->second;
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
  if (!Reply.Limit) {
    // The issuer has not received this entry's report of a new limit yet.
    if (Found == Servers.end() || !Found->second.Confirmed)
      return rate_limit_change::None;
    Servers.erase(Found);
    return rate_limit_change::Ended;
  }
  const bool IsNew = Found == Servers.end();
  server &Server = IsNew ? Servers[Reply.Server] : Found->second;
  const bool Changed = Server.Limit != *Reply.Limit;
  Server.Limit = *Reply.Limit;
  Server.Confirmed = true;
  checkAt(Server, Now + Tuning.RefreshInterval);
  if (Reply.Permit.isSet() && Server.AskedAt != mono_time::min() &&
      Now - Server.AskedAt <= Tuning.ReplyLifetime)
    Server.Permits.push_back({Reply.Permit, Now + Tuning.PermitLifetime});
  if (Reply.RetryAfter.count() > 0) {
    Server.AskFrom = Now + Reply.RetryAfter;
    Server.Denied = !Reply.Queued;
  }
  if (IsNew)
    return rate_limit_change::Started;
  return Changed ? rate_limit_change::Changed : rate_limit_change::None;
}

std::optional<requests_per_second> permit_client::limitOf(incarnation Server) const {
  const auto Found = Servers.find(Server);
  return Found == Servers.end() ? std::nullopt : std::optional(Found->second.Limit);
}

bool permit_client::hasPermit(incarnation ServerId, mono_time Now) const {
  const auto Found = Servers.find(ServerId);
  return Found != Servers.end() && !Found->second.Permits.empty() &&
         Found->second.Permits.back().Until >= Now;
}

bool permit_client::mayAsk(incarnation ServerId, mono_time Now) const {
  const auto Found = Servers.find(ServerId);
  return Found != Servers.end() && Found->second.AskFrom <= Now;
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
  Messages.emplace_back(permit_request{ServerId, Server.Limit, true, Wait});
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
