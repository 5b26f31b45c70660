/** @file account_shares_base.h Which requests are within their account's fair share. */
#ifndef POLLENSTALL_FLEET_QUEUE_ACCOUNT_SHARES_BASE_H
#define POLLENSTALL_FLEET_QUEUE_ACCOUNT_SHARES_BASE_H

#include "core/core.h"

#include <map>

namespace pollenstall {

/**
 * Divides the cost of arriving requests among the active accounts by their declared shares. Work
 * over the share only comes after other work of its kind, so that what an account leaves of its
 * share is used by the others. The entry sees a sample of each account's requests, which is
 * unbiased as long as callers choose entries at random.
 */
class account_shares {
public:
  /// Sets the declared share of an account; others have 1.
  void setShare(const client_account_name &Account, double Share) { Shares[Account] = Share; }
  void clearShares() { Shares.clear(); }

  /// Records a request. @param Cost Part of an engine's time or memory that it takes.
  /// @return Whether it is within its account's share.
  bool record(const client_account_name &Account, double Cost, mono_time Now);

private:
  struct usage {
    double Cost{0};     ///< Decayed sum, as of Updated.
    double Requests{0}; ///< Decayed count, as of Updated.
    mono_time Updated;
    double Credit{0}; ///< Rises with each request by the part that is within the share.
  };
  [[nodiscard]] double fairPart(const client_account_name &Account, mono_time Now);
  static void decay(usage &Usage, mono_time Now);
  [[nodiscard]] double shareOf(const client_account_name &Account) const;

  std::map<client_account_name, double> Shares;
  std::map<client_account_name, usage> Usages;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_QUEUE_ACCOUNT_SHARES_BASE_H
