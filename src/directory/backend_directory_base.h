/** @file backend_directory_base.h The leader's list of backend servers, made of their notices. */
#ifndef POLLENSTALL_DIRECTORY_BACKEND_DIRECTORY_BASE_H
#define POLLENSTALL_DIRECTORY_BACKEND_DIRECTORY_BASE_H

#include "directory/directory_type.h"

#include <deque>
#include <map>
#include <vector>

namespace pollenstall {

/**
 * A new leader starts with what the one before it has put into the log, which may be out of date by
 * what happened since; it has heard of all itself after one notice interval.
 * A life that has ended never comes back, whatever late notice of it arrives.
 */
class backend_directory {
public:
  explicit backend_directory(const directory_options &Times) : Options(Times) {}

  /// Takes over what a former leader listed and this one has not heard of. A server that is not
  /// heard falls silent as any other.
  void restore(const std::vector<backend_listing> &Listings, mono_time Now);
  /// A notice arrived. @return The listings that it changed.
  std::vector<backend_listing> hear(const backend_notice &Notice, mono_time Now);
  /// A backend server ends this life: it gets no new work; what it runs goes on. Lives under the
  /// same name that began earlier are over too.
  std::vector<backend_listing> withdraw(const backend_incarnation &Incarnation, mono_time Now);
  /// Lets time pass. @return Listings of those that have fallen silent.
  std::vector<backend_listing> advance(mono_time Now);

  /// @return Every listing, those of lives that ended a short time ago included.
  [[nodiscard]] std::vector<backend_listing> all() const;
  /// @return The newest life of the name, or null.
  [[nodiscard]] const backend_listing *find(const instance_name &Instance) const;
  /// Forgets everything: this host leads no more.
  void clear();

private:
  struct record {
    backend_listing Listing;
    std::uint64_t Sequence{0};
    mono_time LastHeard;
    bool Heard{true}; ///< By this leader.
  };
  /// A life that claims the address of one that was heard of a moment ago.
  struct challenger {
    instance_name Instance;
    mono_time Since;
    std::uint64_t Sequence{0};
  };

  std::vector<backend_listing> refresh(record &Known, const backend_notice &Notice, mono_time Now);
  std::vector<backend_listing> meet(const backend_notice &Notice, mono_time Now);
  [[nodiscard]] bool mayTakeOver(const record &Holder, const backend_notice &Notice, mono_time Now);
  record *holderOf(const backend_address &Address);
  void end(record &Known, std::vector<backend_listing> &Changes);
  [[nodiscard]] bool isRetired(const instance_name &Instance, incarnation_start Started) const;
  void retire(const backend_incarnation &Incarnation);

  directory_options Options;
  std::map<instance_name, record> Records; ///< The newest life of each name.
  std::map<backend_address, challenger> Challengers;
  std::map<instance_name, incarnation_start> Retired; ///< The newest ended life of each name.
  std::deque<instance_name> RetiredOrder;             ///< Oldest first.
};

} // namespace pollenstall

#endif // POLLENSTALL_DIRECTORY_BACKEND_DIRECTORY_BASE_H
