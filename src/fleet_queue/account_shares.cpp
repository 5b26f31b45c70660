/** @file account_shares.cpp Shares of the active accounts in the cost of what arrives. */
#include "fleet_queue/account_shares_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pollenstall {

namespace {

/// Averaging window. With fewer seconds, an entry that serves five requests a second could not tell
/// an account that sends a fifth of them from one that sends half.
constexpr double WindowSeconds = 8;
/// An account with less than this many requests in the window is not judged.
constexpr double MinRequests = 4;
/// An account may exceed its share by this factor, since an entry sees a small sample only.
constexpr double Tolerance = 1.25;
/// Accounts with a smaller part of the cost are forgotten.
constexpr double ForgetFraction = 1e-3;

} // namespace

double account_shares::shareOf(const client_account_name &Account) const {
  const auto Declared = Shares.find(Account);
  return Declared == Shares.end() ? 1.0 : std::max(Declared->second, 1e-6);
}

void account_shares::decay(usage &Usage, mono_time Now) {
  const double Seconds =
      std::chrono::duration<double>(std::max(Now - Usage.Updated, mono_duration::zero())).count();
  const double Factor = std::exp(-Seconds / WindowSeconds);
  Usage.Cost *= Factor;
  Usage.Requests *= Factor;
  Usage.Updated = Now;
}

/// Returns the part of the account's cost that is within its share.
double account_shares::fairPart(const client_account_name &Account, mono_time Now) {
  double Total = 0;
  for (auto &[Name, Usage] : Usages) {
    decay(Usage, Now);
    Total += Usage.Cost;
  }
  std::erase_if(Usages, [&](const auto &Item) {
    return Item.first != Account && Item.second.Cost < Total * ForgetFraction;
  });
  double OpenShares = 0;
  for (const auto &[Name, Usage] : Usages)
    OpenShares += shareOf(Name);
  const double Own = Usages.at(Account).Cost;
  const double Fair = Total * shareOf(Account) / OpenShares;
  return Own <= 0 ? 1 : std::min(1.0, Fair * Tolerance / Own);
}

bool account_shares::record(const client_account_name &Account, double Cost, mono_time Now) {
  usage &Usage = Usages.try_emplace(Account, usage{0, 0, Now, 0}).first->second;
  decay(Usage, Now);
  Usage.Cost += std::max(Cost, 0.0);
  Usage.Requests += 1;
  if (Usages.size() < 2 || Usage.Requests < MinRequests)
    return true;
  Usage.Credit += fairPart(Account, Now);
  if (Usage.Credit < 1.0)
    return false;
  Usage.Credit -= 1.0;
  return true;
}

} // namespace pollenstall
