/** @file member_set_func.h Text form, quorums and single changes of a set of members. */
#ifndef POLLENSTALL_CONSENSUS_MEMBER_SET_FUNC_H
#define POLLENSTALL_CONSENSUS_MEMBER_SET_FUNC_H

#include "consensus/consensus_type.h"

#include <functional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The payload of an entry of kind Membership.
std::string encodeMembers(const member_set &Set);

/// @return The set, or nothing where the bytes are not one.
std::optional<member_set> decodeMembers(std::string_view Payload);

/// @return The record of exactly this disk, or null.
const log_member *findMember(const member_set &Set, const member_key &Key);

/// @return The record under this id whatever its disk, or null.
const log_member *findMember(const member_set &Set, member_id Member);

/// @return Whether exactly this disk votes.
bool isVoter(const member_set &Set, const member_key &Key);

/// @return How many voters there are.
std::size_t voterCount(const member_set &Set);

/// @return How many of so many voters make a quorum.
constexpr std::size_t quorumOf(std::size_t Voters) { return Voters / 2 + 1; }

/// @return How many voters make a quorum.
std::size_t quorumSize(const member_set &Set);

/// @return Whether the voters for whom Agrees holds make a quorum.
bool hasQuorum(const member_set &Set, const std::function<bool(const member_key &)> &Agrees);

/// @return The set with Key as a learner; an older disk under the same id is gone from it.
member_set withLearner(member_set Set, const member_key &Key);

/// @return The set in which Key votes.
member_set withVoter(member_set Set, const member_key &Key);

/// @return The set without the member.
member_set withoutMember(member_set Set, member_id Member);

/// @return "1/disk voter, 2/disk learner", for dumps.
std::string toText(const member_set &Set);

/// @return "id/disk", for dumps.
std::string toText(const member_key &Key);

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_MEMBER_SET_FUNC_H
