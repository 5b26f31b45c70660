/** @file role_base.h The role of a replica as a state machine. */
#ifndef POLLENSTALL_CONSENSUS_ROLE_BASE_H
#define POLLENSTALL_CONSENSUS_ROLE_BASE_H

#include "consensus/consensus_type.h"

#include <memory>

namespace pollenstall {

/// An event that may change the role of a replica.
enum class role_event : std::uint8_t {
  MadeVoter,       ///< This disk is a voter in the member set in force.
  MadeLearner,     ///< This disk is not a voter in the member set in force.
  ElectionTimeout, ///< No message from a leader, or no election won, before the deadline.
  PreVoteWon,
  VoteWon,
  SteppedDown, ///< A higher term, another leader of this term, or no contact with a quorum.
};

/// State machine over the replica_role values. An event without a transition in the table violates
/// an invariant.
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

/// @return The name of the role, for dumps.
const char *toText(replica_role Role);

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_ROLE_BASE_H
