/** @file permit_issuer.cpp Limits, saved permits and waiting requests of the servers of an issuer.
 */
#include "rate_limit/permit_issuer_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

mono_duration secondsOf(double Seconds) {
  return std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(Seconds));
}

/// Requests that wait for longer than this would find their work placed elsewhere or refused.
constexpr double MaxQueueSeconds = 1;

} // namespace

void permit_issuer::keepServers(const std::function<bool(incarnation)> &IsAssigned) {
  std::erase_if(Servers, [&](const auto &Item) { return !IsAssigned(Item.first); });
}

double permit_issuer::rateOf(const server &Server) const {
  return std::max(Server.Limit.value_or(Tuning.MinRate), Tuning.MinRate).value();
}

void permit_issuer::refill(server &Server, mono_time Now) const {
  const double Elapsed = std::chrono::duration<double>(Now - Server.FilledAt).count();
  if (Elapsed > 0)
    Server.Permits = std::min(Server.Permits + Elapsed * rateOf(Server), Tuning.MaxSaved);
  Server.FilledAt = std::max(Server.FilledAt, Now);
}

mono_time permit_issuer::nextPermitAt(const server &Server) const {
  const double Missing = std::max(0.0, 1 - Server.Permits);
  return std::max(Server.FilledAt + secondsOf(Missing / rateOf(Server)), Server.IssueFrom);
}

/// Sets the limit. All entries are told of its start and end; a new number only concerns the
/// issuer.
void permit_issuer::setLimit(incarnation ServerId, server &Server,
                             std::optional<requests_per_second> Limit, mono_time Now) {
  refill(Server, Now);
  const bool StartsOrEnds = Server.Limit.has_value() != Limit.has_value();
  Server.Limit = Limit;
  if (!StartsOrEnds)
    return;
  Server.Waiting.clear();
  Server.Permits = 0;
  Server.FilledAt = Server.IssueFrom = Now + Tuning.IssueDelay;
  Server.RepeatNoticeAt = Now + Tuning.NoticeRepeat;
  Replies.push_back({{}, {ServerId, Limit, {}, milliseconds(0), false}});
}

void permit_issuer::issue(incarnation ServerId, server &Server, const std::string &To) {
  Server.Permits -= 1;
  Replies.push_back({To, {ServerId, Server.Limit, {Id, ++LastPermit}, milliseconds(0), false}});
}

void permit_issuer::issueToWaiting(incarnation ServerId, server &Server, mono_time Now) {
  if (Server.Waiting.empty())
    return;
  std::erase_if(Server.Waiting, [Now](const waiting_request &Item) { return Item.Until < Now; });
  refill(Server, Now);
  while (!Server.Waiting.empty() && Now >= nextPermitAt(Server)) {
    issue(ServerId, Server, Server.Waiting.front().From);
    Server.Waiting.pop_front();
  }
}

bool permit_issuer::enqueue(server &Server, const permit_request &Request, const std::string &From,
                            mono_time Now) const {
  const auto Own = std::find_if(Server.Waiting.begin(), Server.Waiting.end(),
                                [&From](const waiting_request &Item) { return Item.From == From; });
  if (Own != Server.Waiting.end()) {
    Own->Until = Now + Request.Wait;
    return true;
  }
  const auto MaxWaiting = 1 + static_cast<std::size_t>(std::ceil(rateOf(Server) * MaxQueueSeconds));
  if (Server.Waiting.size() >= MaxWaiting || Now + Request.Wait < nextPermitAt(Server))
    return false;
  Server.Waiting.push_back({From, Now + Request.Wait});
  return true;
}

milliseconds permit_issuer::retryAfter(const server &Server, mono_time Now) const {
  const double Share =
      static_cast<double>(EntryCount) / (Tuning.RequestsPerPermit * rateOf(Server));
  const auto Spread = std::clamp(std::chrono::duration_cast<milliseconds>(secondsOf(Share)),
                                 Tuning.MinRetryAfter, Tuning.MaxRetryAfter);
  const auto UntilFirst = std::chrono::ceil<milliseconds>(Server.IssueFrom - Now);
  return std::max(Spread, UntilFirst);
}

void permit_issuer::handle(const permit_request &Request, const std::string &From, mono_time Now) {
  detectSuspension(Now);
  const auto [Found, IsNew] = Servers.try_emplace(Request.Server);
  server &Server = Found->second;
  Server.HeardAt = Now;
  if (IsNew)
    setLimit(Request.Server, Server, Request.Limit, Now);
  issueToWaiting(Request.Server, Server, Now);
  permit_reply Reply{Request.Server, Server.Limit, {}, milliseconds(0), false};
  if (!Request.Wanted || !Server.Limit) {
    Replies.push_back({From, Reply});
    return;
  }
  refill(Server, Now);
  if (Server.Waiting.empty() && Now >= nextPermitAt(Server))
    return issue(Request.Server, Server, From);
  const bool Waits = Request.Wait > milliseconds(0) && enqueue(Server, Request, From, Now);
  Reply.Queued = Waits;
  Reply.RetryAfter = Waits ? Request.Wait : retryAfter(Server, Now);
  Replies.push_back({From, Reply});
}

void permit_issuer::handle(const limit_report &Report, const std::string &From, mono_time Now) {
  detectSuspension(Now);
  if (Report.Limit) {
    server &Server = Servers[Report.Server];
    Server.HeardAt = Now;
    Server.LastStated = LastPermit;
    if (Server.Limit != Report.Limit)
      setLimit(Report.Server, Server, Report.Limit, Now);
    Replies.push_back({From, {Report.Server, Server.Limit, {}, milliseconds(0), false}});
    return;
  }
  const auto Found = Servers.find(Report.Server);
  if (Found == Servers.end() || !Found->second.Limit)
    return;
  // Answers overtake each other. The limit has ended if a request that was sent after the last
  // statement of a limit had arrived here is answered without one.
  server &Server = Found->second;
  Server.HeardAt = Now;
  if (Report.Permit.Issuer == Id && Report.Permit.Number > Server.LastStated)
    setLimit(Report.Server, Server, std::nullopt, Now);
}

void permit_issuer::detectSuspension(mono_time Now) {
  const bool Suspended =
      ActiveAt != mono_time::min() && Now - ActiveAt > Tuning.SuspensionThreshold;
  ActiveAt = Now;
  if (!Suspended)
    return;
  for (auto &[ServerId, Server] : Servers) {
    Server.Waiting.clear();
    Server.Permits = 0;
    Server.FilledAt = Server.IssueFrom = Now + Tuning.IssueDelay;
  }
}

void permit_issuer::advance(mono_time Now) {
  detectSuspension(Now);
  for (auto &[ServerId, Server] : Servers) {
    issueToWaiting(ServerId, Server, Now);
    if (Server.RepeatNoticeAt && *Server.RepeatNoticeAt <= Now) {
      Server.RepeatNoticeAt.reset();
      Replies.push_back({{}, {ServerId, Server.Limit, {}, milliseconds(0), false}});
    }
  }
  std::erase_if(
      Servers, [&](const auto &Item) { return Now - Item.second.HeardAt > Tuning.ServerLifetime; });
}

std::optional<mono_time> permit_issuer::nextWake() const {
  std::optional<mono_time> Next;
  const auto Consider = [&Next](mono_time Time) { Next = std::min(Next.value_or(Time), Time); };
  for (const auto &[ServerId, Server] : Servers) {
    if (!Server.Waiting.empty())
      Consider(nextPermitAt(Server));
    if (Server.RepeatNoticeAt)
      Consider(*Server.RepeatNoticeAt);
  }
  return Next;
}

} // namespace pollenstall
