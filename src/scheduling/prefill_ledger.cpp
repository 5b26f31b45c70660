/** @file prefill_ledger.cpp Estimates of an engine's pending prefill from own work and reports. */
#include "scheduling/prefill_ledger_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

/// Own work placed within this time before a report arrived is taken as not counted in it.
constexpr mono_duration ReportLag = 200ms;
/// A report of this age has lost about two thirds of its weight.
constexpr double ReportFadeSeconds = 3.0;
/// Part of an unanswered prompt that is assumed to be left however long it has run.
constexpr double LeastRemainingShare = 0.05;
/// Other hosts' pending prefill beyond this part of a long prompt is taken for a long prompt.
constexpr double LongGuessShare = 0.4;

double secondsBetween(mono_time From, mono_time To) {
  return std::max(0.0, std::chrono::duration<double>(To - From).count());
}

} // namespace

void prefill_ledger::add(ticket_number Ticket, length_class Class, double Tokens, bool Yields,
                         mono_time Now) {
  Own[Ticket] = own_prefill{Class, Tokens, Yields, Now};
}

void prefill_ledger::remove(ticket_number Ticket) { Own.erase(Ticket); }

void prefill_ledger::report(double Waiting, mono_time SeenAt) {
  Reported = std::max(0.0, Waiting);
  ReportSeen = SeenAt;
  HasReport = true;
  OwnInReport = 0;
  for (const auto &[Ticket, Entry] : Own)
    if (Entry.Placed + ReportLag <= SeenAt)
      OwnInReport += Entry.Tokens;
}

double prefill_ledger::ownRemaining(const own_prefill &Entry, mono_time Now, double Rate) const {
  const double Processed = secondsBetween(Entry.Placed, Now) * Rate;
  return std::max(Entry.Tokens - Processed, Entry.Tokens * LeastRemainingShare);
}

double prefill_ledger::ownPending(mono_time Now, double Rate) const {
  double Total = 0;
  for (const auto &[Ticket, Entry] : Own)
    Total += ownRemaining(Entry, Now, Rate);
  return Total;
}

prefill_ledger::others_prefill prefill_ledger::others(mono_time Now, double Rate) const {
  if (!HasReport)
    return {};
  const double Age = secondsBetween(ReportSeen, Now);
  // Own attempts in the report run beside the others', so their progress comes off first.
  const double AtReport = std::max(0.0, Reported - OwnInReport);
  const double Left = std::max(0.0, AtReport - Age * Rate) * std::exp(-Age / ReportFadeSeconds);
  if (AtReport > LongGuessShare * LongFrom)
    return {Left, 0};
  return {0, Left};
}

double prefill_ledger::pending(mono_time Now, double Rate) const {
  const others_prefill Others = others(Now, Rate);
  return ownPending(Now, Rate) + Others.Long + Others.Other;
}

double prefill_ledger::ahead(length_class Class, bool Passes, mono_time Now, double Rate) const {
  if (!Passes)
    return pending(Now, Rate);
  double Total = others(Now, Rate).Other;
  if (Class == length_class::Long)
    Total += others(Now, Rate).Long;
  for (const auto &[Ticket, Entry] : Own)
    if (Entry.Class <= Class && !Entry.Yields)
      Total += ownRemaining(Entry, Now, Rate);
  return Total;
}

std::uint32_t prefill_ledger::longs(mono_time Now, double Rate) const {
  std::uint32_t Count = others(Now, Rate).Long > 0 ? 1 : 0;
  for (const auto &[Ticket, Entry] : Own)
    if (Entry.Class == length_class::Long)
      ++Count;
  return Count;
}

} // namespace pollenstall
