/** @file backend_directory_base.h The leader's list of backend servers, built from their
 * notices. */
#ifndef POLLENSTALL_DIRECTORY_BACKEND_DIRECTORY_BASE_H
#define POLLENSTALL_DIRECTORY_BACKEND_DIRECTORY_BASE_H

#include "directory/directory_type.h"

#include <deque>
#include <map>
#include <vector>

namespace pollenstall {

/**
 * A new leader starts with the list that its predecessor wrote to the log, which may be stale.
 * After one notice interval it should have received a notice from every live backend server. An
 * incarnation that has ended never returns, even if a late notice of it arrives.
 */
class backend_directory {
public:
  explicit backend_directory(const directory_options &Times) : Options(Times) {}

  /// Restores a former leader's listings of those backend servers from which this leader has no
  /// notice. A restored backend server becomes unresponsive like any other if it sends no notice.
  void restore(const std::vector<backend_listing> &Listings, mono_time Now);
  /// Handles a notice. @return The listings that it changed.
  std::vector<backend_listing> handleNotice(const backend_notice &Notice, mono_time Now);
  /// Marks an incarnation, or an earlier one that is listed under the same name, as leaving: it
  /// gets no new work, but its running requests continue. No later notice of this or an earlier
  /// incarnation makes it active again.
  std::vector<backend_listing> withdraw(const backend_incarnation &Incarnation, mono_time Now);
  /// Marks or removes listings whose notices are overdue at Now. @return Listings that became
  /// unresponsive or were removed.
  std::vector<backend_listing> advance(mono_time Now);

  /// Passes on what the next notice of each server of the domain says about being cold, also if it
  /// says the same as before. To be called when the domain is restored, since entries then count
  /// its servers as cold.
  void expectColdStatements(const failure_domain_name &Domain);

  /// @return All listings.
  [[nodiscard]] std::vector<backend_listing> all(mono_time Now) const;
  /// @return At most MaxCount listings whose names follow After in the order of names. An empty
  /// name precedes all others.
  [[nodiscard]] std::vector<backend_listing>
  listingsAfter(const instance_name &After, std::size_t MaxCount, mono_time Now) const;
  /// @return The listing of the name's newest incarnation, or null.
  [[nodiscard]] const backend_listing *find(const instance_name &Instance) const;
  /// Removes all listings, because this host is no longer the leader.
  void clear();

private:
  struct record {
    backend_listing Listing;
    std::uint64_t Sequence{0};
    mono_time LastNoticeAt;
    bool HasNotice{true}; ///< This leader has received a notice from it.
    /// Until when entries were told that it is cold; empty if they were told nothing. A time in the
    /// past stands for a warm server.
    std::optional<mono_time> ColdUntil{};
    bool PassOnCold{false}; ///< The next statement is passed on in any case.
  };
  /// An incarnation that claims an address whose holder sent a notice recently.
  struct challenger {
    instance_name Instance;
    mono_time ChallengedAt; ///< When its latest notice arrived.
    std::uint64_t Sequence{0};
  };

  std::vector<backend_listing> updateRecord(record &Record, const backend_notice &Notice,
                                            mono_time Now);
  std::vector<backend_listing> addInstance(const backend_notice &Notice, mono_time Now);
  [[nodiscard]] bool mayTakeOver(const record &Holder, const backend_notice &Notice, mono_time Now);
  record *findByAddress(const backend_address &Address);
  /// @return Whether entries must be told what the notice says about being cold.
  static bool recordCold(record &Record, const backend_notice &Notice, bool IsFirst, mono_time Now);
  static backend_listing listingOf(const record &Record, mono_time Now);
  void endIncarnation(record &Record, std::vector<backend_listing> &Changes);
  [[nodiscard]] bool isRetired(const instance_name &Instance, incarnation_start Started) const;
  void retire(const backend_incarnation &Incarnation);

  directory_options Options;
  std::map<instance_name, record> Records; ///< The newest incarnation of each name.
  std::map<backend_address, challenger> Challengers;
  std::map<instance_name, incarnation_start>
      Retired; ///< Start of the newest ended or withdrawn incarnation of each name; no notice up to
               ///< it is applied.
  std::deque<instance_name> RetiredOrder; ///< Oldest first.
};

} // namespace pollenstall

#endif // POLLENSTALL_DIRECTORY_BACKEND_DIRECTORY_BASE_H
