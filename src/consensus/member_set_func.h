/** @file member_set_func.h Encoding, quorums and single changes of a member set. */
#ifndef POLLENSTALL_CONSENSUS_MEMBER_SET_FUNC_H
#define POLLENSTALL_CONSENSUS_MEMBER_SET_FUNC_H

#include "consensus/consensus_type.h"

#include <functional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The payload of an entry of kind Membership.
std::string encodeMembers(const member_set &Set);

/// @return The set, or nothing if the bytes are not a valid encoding.
std::optional<member_set> decodeMembers(std::string_view Payload);

/// @return The member with this id and disk, or null.
const log_member *findMember(const member_set &Set, const member_key &Key);

/// @return The member with this id and any disk, or null.
const log_member *findMember(const member_set &Set, member_id Member);

/// @return Whether the member with this id and disk is a voter.
bool isVoter(const member_set &Set, const member_key &Key);

/// @return The number of voters.
std::size_t voterCount(const member_set &Set);

/// @return The quorum of the given number of voters.
constexpr std::size_t quorumOf(std::size_t Voters) { return Voters / 2 + 1; }

/// @return The number of voters that form a quorum of the set.
std::size_t quorumSize(const member_set &Set);

/// @return Whether the voters for which Agrees returns true form a quorum.
bool hasQuorum(const member_set &Set, const std::function<bool(const member_key &)> &Agrees);

/// @return The set with Key as a learner, in place of any other disk with the same id.
member_set withLearner(member_set Set, const member_key &Key);

/// @return The set with member Key promoted to voter.
member_set withVoter(member_set Set, const member_key &Key);

/// @return The set without the member.
member_set withoutMember(member_set Set, member_id Member);

/// @return "1/disk voter, 2/disk learner", for dumps.
std::string toText(const member_set &Set);

/// @return "id/disk", for dumps.
std::string toText(const member_key &Key);

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_MEMBER_SET_FUNC_H
