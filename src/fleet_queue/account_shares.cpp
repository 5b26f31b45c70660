/** @file account_shares.cpp Max-min fair shares of the active accounts. */
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
  // Accounts that use less than their share free the rest of it for the others. Each round fixes at
  // least one of them.
  const double Own = Usages.at(Account).Cost;
  double Remaining = Total;
  std::map<client_account_name, double> Open;
  double OpenShares = 0;
  for (const auto &[Name, Usage] : Usages) {
    Open[Name] = Usage.Cost;
    OpenShares += shareOf(Name);
  }
  for (bool Fixed = true; Fixed;) {
    Fixed = false;
    for (auto Item = Open.begin(); Item != Open.end();) {
      if (Item->first == Account || Item->second > Remaining * shareOf(Item->first) / OpenShares) {
        ++Item;
        continue;
      }
      Remaining -= Item->second;
      OpenShares -= shareOf(Item->first);
      Item = Open.erase(Item);
      Fixed = true;
    }
  }
  // Accounts that all exceed their share divide the total equally among them.
  const double Fair = Remaining * shareOf(Account) / OpenShares;
  return Own <= 0 ? 1 : std::min(1.0, Fair * Tolerance / Own);
}

bool account_shares::record(const client_account_name &Account, double Cost, mono_time Now) {
  usage &Usage = Usages.try_emplace(Account, usage{0, 0, Now, 0}).first->second;
  decay(Usage, Now);
  Usage.Cost += std::max(Cost, 0.0);
  Usage.Requests += 1;
  if (Usages.size() < 2 || Usage.Requests < MinRequests)
    return true;
  usage &Judged = Usage;
  Judged.Credit = std::min(Judged.Credit + fairPart(Account, Now), 1.0);
  if (Judged.Credit < 1.0)
    return false;
  Judged.Credit -= 1.0;
  return true;
}

} // namespace pollenstall
