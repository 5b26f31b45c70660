/** @file directory_follower_base.h An entry's copy of the leader's list of backend servers. */
#ifndef POLLENSTALL_DIRECTORY_DIRECTORY_FOLLOWER_BASE_H
#define POLLENSTALL_DIRECTORY_DIRECTORY_FOLLOWER_BASE_H

#include "directory/directory_type.h"

#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/**
 * Survives changes of the leader: a new one knows only those it has heard of itself, so what it
 * does not list yet keeps its place for some time. After that it counts as silent: it may have said
 * to the former leader that it leaves.
 */
class directory_follower {
public:
  /// @param Patience How long a new leader may take to hear of every backend server.
  explicit directory_follower(mono_duration Patience) : Grace(Patience) {}

  /// A leader told what it knows, at the start of a connection. @return What changed.
  std::vector<backend_listing> takeAll(const std::vector<backend_listing> &Listings, mono_time Now);
  /// @return What changed here.
  std::vector<backend_listing> take(const std::vector<backend_listing> &Listings);
  /// Lets time pass. @return Those that the new leader did not hear of.
  std::vector<backend_listing> advance(mono_time Now);
  /// @return Whether any leader has told its list in this life.
  [[nodiscard]] bool told() const { return Told; }
  [[nodiscard]] const backend_listing *find(const backend_key &Key) const;

private:
  struct record {
    backend_listing Listing;
    bool Confirmed{true}; ///< By the leader of the present connection.
  };

  void takeOne(const backend_listing &Listing, std::vector<backend_listing> &Changes);
  void takeNew(const backend_listing &Listing, std::vector<backend_listing> &Changes);
  void takeWithdrawal(const backend_listing &Listing, std::vector<backend_listing> &Changes);
  void change(record &Known, listing_state State, std::vector<backend_listing> &Changes);

  mono_duration Grace;
  bool Told{false};
  std::optional<mono_time> ReviewAt;
  std::map<incarnation, record> Records;
};

} // namespace pollenstall

#endif // POLLENSTALL_DIRECTORY_DIRECTORY_FOLLOWER_BASE_H
