/** @file role_base.h The role of a replica as a state machine. */
#ifndef POLLENSTALL_CONSENSUS_ROLE_BASE_H
#define POLLENSTALL_CONSENSUS_ROLE_BASE_H

#include "consensus/consensus_type.h"

#include <memory>

namespace pollenstall {

/// What moves a replica from role to role.
enum class role_event : std::uint8_t {
  MadeVoter,       ///< The set in force lets this disk vote.
  MadeLearner,     ///< The set in force does not let it vote.
  ElectionTimeout, ///< No leader was heard of, or no election was won, in time.
  PreVoteWon,
  VoteWon,
  SteppedDown, ///< A higher term, another leader of this term, or no quorum in contact.
};

/// Learner, follower, pre-candidate, candidate, leader; a transition that is not in the table
/// breaks an invariant.
class role_machine {
public:
  role_machine();
  ~role_machine();
  role_machine(role_machine &&) noexcept;
  role_machine &operator=(role_machine &&) noexcept;

  [[nodiscard]] replica_role current() const;
  void process(role_event Event);

private:
  struct machine;
  std::unique_ptr<machine> Machine;
};

/// @return The role's name, for dumps.
const char *toText(replica_role Role);

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_ROLE_BASE_H
