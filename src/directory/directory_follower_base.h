/** @file directory_follower_base.h An entry's copy of the leader's list of backend servers. */
#ifndef POLLENSTALL_DIRECTORY_DIRECTORY_FOLLOWER_BASE_H
#define POLLENSTALL_DIRECTORY_DIRECTORY_FOLLOWER_BASE_H

#include "directory/directory_type.h"

#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/**
 * Keeps the list over changes of the leader. A new leader knows only the backend servers that it
 * has a notice of, and sends its list in parts, so those that it does not list yet keep their state
 * for a grace period, which each part that confirms some of them extends. After that, active ones
 * count as unresponsive, because they may have notified the former leader that they leave.
 *
 * What a listing says about being cold is passed on with the change and not kept here.
 */
class directory_follower {
public:
  /// @param GracePeriod How long a new leader may take to receive a notice from every backend
  /// server.
  explicit directory_follower(mono_duration GracePeriod) : Grace(GracePeriod) {}

  /// Applies the full list that a leader sends at the start of a connection, or its first part.
  /// @return The changed listings.
  std::vector<backend_listing> applyFullList(const std::vector<backend_listing> &Listings,
                                             mono_time Now);
  /// Applies listings that the leader changed, or a further part of its list. @return The listings
  /// that changed here.
  std::vector<backend_listing> applyUpdates(const std::vector<backend_listing> &Listings,
                                            mono_time Now);
  /// Marks a server as leaving because it says so itself; no leader needs to know it yet.
  /// @return The listings that changed here.
  std::vector<backend_listing> markLeaving(const backend_key &Key);
  /// Marks active listings as unresponsive once the grace period has ended at Now. @return Listings
  /// that the new leader did not confirm within the grace period.
  std::vector<backend_listing> advance(mono_time Now);
  /// @return Whether any leader has sent its full list to this process.
  [[nodiscard]] bool hasFullList() const { return HasFullList; }
  [[nodiscard]] const backend_listing *find(const backend_key &Key) const;

private:
  struct record {
    backend_listing Listing;
    bool Confirmed{true}; ///< The leader of the current connection has listed or withdrawn it.
  };

  [[nodiscard]] bool confirmsAny(const std::vector<backend_listing> &Listings) const;
  void applyListing(const backend_listing &Listing, std::vector<backend_listing> &Changes);
  void addListing(const backend_listing &Listing, std::vector<backend_listing> &Changes);
  void applyWithdrawal(const backend_listing &Listing, std::vector<backend_listing> &Changes);
  void setState(record &Existing, listing_state State, std::vector<backend_listing> &Changes);

  mono_duration Grace;
  bool HasFullList{false};
  std::optional<mono_time> GraceEndsAt;
  std::map<incarnation, record> Records;
  std::map<instance_name, incarnation> ByInstance; ///< The record of each name, one a name.
};

} // namespace pollenstall

#endif // POLLENSTALL_DIRECTORY_DIRECTORY_FOLLOWER_BASE_H
