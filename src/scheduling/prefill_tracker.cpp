/** @file prefill_tracker.cpp Estimates an engine's pending prefill from own work and reports. */
#include "scheduling/prefill_tracker_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

/// A report is assumed not to include own work that was placed less than this before it arrived.
constexpr mono_duration ReportLag = 200ms;
/// Time constant of the decay of a report: at this age it has lost about two thirds of its weight.
constexpr double ReportFadeSeconds = 3.0;
/// Part of an unanswered prompt that counts as unprocessed regardless of the elapsed time.
constexpr double MinRemainingShare = 0.05;
/// Other hosts' pending prefill above this part of a long prompt's size counts as a long prompt.
constexpr double LongPromptShare = 0.4;

double secondsBetween(mono_time From, mono_time To) {
  return std::max(0.0, std::chrono::duration<double>(To - From).count());
}

} // namespace

void prefill_tracker::add(placement_id Placement, length_class Class, double Tokens,
                          bool Deprioritized, mono_time Now) {
  OwnPrefills[Placement] = own_prefill{Class, Tokens, Deprioritized, Now};
}

void prefill_tracker::remove(placement_id Placement) { OwnPrefills.erase(Placement); }

void prefill_tracker::applyReport(double WaitingTokens, mono_time ReceivedAt) {
  Reported = std::max(0.0, WaitingTokens);
  ReportReceived = ReceivedAt;
  HasReport = true;
  OwnTokensInReport = 0;
  for (const auto &[Placement, Prefill] : OwnPrefills)
    if (Prefill.Placed + ReportLag <= ReceivedAt)
      OwnTokensInReport += Prefill.Tokens;
}

double prefill_tracker::remainingTokens(const own_prefill &Prefill, mono_time Now,
                                        double Rate) const {
  const double Processed = secondsBetween(Prefill.Placed, Now) * Rate;
  return std::max(Prefill.Tokens - Processed, Prefill.Tokens * MinRemainingShare);
}

double prefill_tracker::ownPendingTokens(mono_time Now, double Rate) const {
  double Total = 0;
  for (const auto &[Placement, Prefill] : OwnPrefills)
    Total += remainingTokens(Prefill, Now, Rate);
  return Total;
}

prefill_tracker::others_prefill prefill_tracker::othersPending(mono_time Now, double Rate) const {
  if (!HasReport)
    return {};
  const double Age = secondsBetween(ReportReceived, Now);
  // The report includes own attempts. Their tokens are subtracted before the tokens processed since
  // then, because the engine processes own and other work at the same time.
  const double AtReport = std::max(0.0, Reported - OwnTokensInReport);
  const double Remaining =
      std::max(0.0, AtReport - Age * Rate) * std::exp(-Age / ReportFadeSeconds);
  if (AtReport > LongPromptShare * LongFrom)
    return {Remaining, 0};
  return {0, Remaining};
}

double prefill_tracker::pendingTokens(mono_time Now, double Rate) const {
  const others_prefill Others = othersPending(Now, Rate);
  return ownPendingTokens(Now, Rate) + Others.Long + Others.Shorter;
}

double prefill_tracker::tokensAhead(length_class Class, bool MayOvertake, mono_time Now,
                                    double Rate) const {
  if (!MayOvertake)
    return pendingTokens(Now, Rate);
  double Total = othersPending(Now, Rate).Shorter;
  if (Class == length_class::Long)
    Total += othersPending(Now, Rate).Long;
  for (const auto &[Placement, Prefill] : OwnPrefills)
    if (Prefill.Class <= Class && !Prefill.Deprioritized)
      Total += remainingTokens(Prefill, Now, Rate);
  return Total;
}

std::uint32_t prefill_tracker::longPromptCount(mono_time Now, double Rate) const {
  std::uint32_t Count = othersPending(Now, Rate).Long > 0 ? 1 : 0;
  for (const auto &[Placement, Prefill] : OwnPrefills)
    if (Prefill.Class == length_class::Long)
      ++Count;
  return Count;
}

} // namespace pollenstall
