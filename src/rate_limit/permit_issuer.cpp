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

/// The lower of the stated limit and the rate of a cold server.
double permit_issuer::rateOf(const server &Server) const {
  const double Stated = std::max(Server.Limit.value_or(Tuning.MinRate), Tuning.MinRate).value();
  if (!Server.Cold)
    return Stated;
  return Server.Limit ? std::min(Stated, Server.Cold->PerSecond) : Server.Cold->PerSecond;
}

double permit_issuer::maxSaved(const server &Server) const {
  if (!Server.Cold)
    return Tuning.MaxSaved;
  return Server.Limit ? std::min(Tuning.MaxSaved, Server.Cold->Saved) : Server.Cold->Saved;
}

/// Issues nothing until the given time, and saves up permits from then on.
void permit_issuer::holdPermits(server &Server, mono_time Until, double Permits) const {
  if (Until <= Server.IssueFrom)
    return;
  Server.FilledAt = Server.IssueFrom = Until;
  Server.Permits = Permits;
}

/**
 * Records that a server is cold. Nothing was sent without a permit to a server that was never
 * listed as warm, so its permits are issued at once. Otherwise the requests that were sent without
 * permits, or under those of an earlier issuer, must have left the server's window.
 */
void permit_issuer::recordCold(server &Server, const cold_statement &Cold, bool IsNew,
                               mono_time AssignedSince, mono_time Now) const {
  refill(Server, Now);
  if (!Server.Cold && !Server.Limit) {
    Server.FilledAt = std::max(Server.FilledAt, Now);
    Server.Permits = 1;
  }
  Server.Cold = coldRate(Cold.PerSecond, Tuning);
  Server.Permits = std::min(Server.Permits, maxSaved(Server));
  Server.ColdHeardAt = Now;
  if (IsNew && AssignedSince != mono_time::min() && Now - AssignedSince < Tuning.ColdTakeoverDelay)
    holdPermits(Server, AssignedSince + Tuning.ColdTakeoverDelay, 1);
  if (Cold.WarmAgo && *Cold.WarmAgo < Tuning.ColdWindow + Tuning.ColdSendDelay)
    holdPermits(Server, Now - *Cold.WarmAgo + Tuning.ColdWindow + Tuning.ColdSendDelay, 1);
}

void permit_issuer::refill(server &Server, mono_time Now) const {
  const double Elapsed = std::chrono::duration<double>(Now - Server.FilledAt).count();
  if (Elapsed > 0)
    Server.Permits = std::min(Server.Permits + Elapsed * rateOf(Server), maxSaved(Server));
  Server.FilledAt = std::max(Server.FilledAt, Now);
}

mono_time permit_issuer::nextPermitAt(const server &Server) const {
  const double Missing = std::max(0.0, 1 - Server.Permits);
  const mono_time At =
      std::max(Server.FilledAt + secondsOf(Missing / rateOf(Server)), Server.IssueFrom);
  const bool IsFull = Server.Cold && Server.Cold->PerInterval > 0 &&
                      Server.Issued.size() >= Server.Cold->PerInterval;
  return IsFull ? std::max(At, Server.Issued.front() + Server.Cold->Interval) : At;
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

void permit_issuer::issue(incarnation ServerId, server &Server, const std::string &To,
                          std::optional<cold_grant> Cold, mono_time Now) {
  Server.Permits -= 1;
  const std::size_t Counted = Server.Cold ? Server.Cold->PerInterval : 0;
  if (Counted > 0)
    Server.Issued.push_back(Now);
  while (Server.Issued.size() > Counted)
    Server.Issued.pop_front();
  Replies.push_back(
      {To, {ServerId, Server.Limit, {Id, ++LastPermit}, milliseconds(0), false, Cold}});
}

void permit_issuer::issueToWaiting(incarnation ServerId, server &Server, mono_time Now) {
  if (Server.Waiting.empty())
    return;
  std::erase_if(Server.Waiting, [Now](const waiting_request &Item) { return Item.Until < Now; });
  refill(Server, Now);
  while (!Server.Waiting.empty() && Now >= nextPermitAt(Server)) {
    const waiting_request &First = Server.Waiting.front();
    std::optional<cold_grant> Grant;
    if (First.Cold)
      Grant =
          cold_grant{First.Cold->AskedAt, std::chrono::floor<milliseconds>(Now - First.ArrivedAt)};
    issue(ServerId, Server, First.From, Grant, Now);
    Server.Waiting.pop_front();
  }
}

bool permit_issuer::enqueue(server &Server, const permit_request &Request, const std::string &From,
                            mono_time Now) const {
  const auto Own = std::find_if(Server.Waiting.begin(), Server.Waiting.end(),
                                [&From](const waiting_request &Item) { return Item.From == From; });
  if (Own != Server.Waiting.end()) {
    Own->Until = Now + Request.Wait;
    Own->ArrivedAt = Now;
    Own->Cold = Request.Cold;
    return true;
  }
  const auto MaxWaiting = 1 + static_cast<std::size_t>(std::ceil(rateOf(Server) * MaxQueueSeconds));
  if (Server.Waiting.size() >= MaxWaiting || Now + Request.Wait < nextPermitAt(Server))
    return false;
  Server.Waiting.push_back({From, Now + Request.Wait, Now, Request.Cold});
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

void permit_issuer::handle(const permit_request &Request, const std::string &From, mono_time Now,
                           mono_time AssignedSince) {
  detectSuspension(Now);
  const auto [Found, IsNew] = Servers.try_emplace(Request.Server);
  server &Server = Found->second;
  Server.HeardAt = Now;
  if (IsNew && Request.Limit)
    setLimit(Request.Server, Server, Request.Limit, Now);
  std::optional<cold_grant> Grant;
  if (Request.Cold) {
    recordCold(Server, *Request.Cold, IsNew, AssignedSince, Now);
    Grant = cold_grant{Request.Cold->AskedAt, milliseconds(0)};
  } else if (Now - Server.ColdHeardAt > Tuning.ColdWindow) {
    Server.Cold.reset();
  }
  issueToWaiting(Request.Server, Server, Now);
  permit_reply Reply{Request.Server, Server.Limit, {}, milliseconds(0), false, Grant};
  if (!Request.Wanted || (!Server.Limit && !Server.Cold)) {
    Replies.push_back({From, Reply});
    return;
  }
  refill(Server, Now);
  if (Server.Waiting.empty() && Now >= nextPermitAt(Server))
    return issue(Request.Server, Server, From, Grant, Now);
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
    Server.FilledAt = Server.IssueFrom = std::max(Server.IssueFrom, Now + Tuning.IssueDelay);
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
