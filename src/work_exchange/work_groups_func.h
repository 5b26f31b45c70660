/** @file work_groups_func.h Division of entries into groups with a relay. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_GROUPS_FUNC_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_GROUPS_FUNC_H

#include "work_exchange/work_exchange_type.h"

#include <cstddef>
#include <string>
#include <vector>

namespace pollenstall {

/// Entries of one failure domain, in the order in which they become the group's relay.
using work_group = std::vector<std::string>;

/**
 * Splits entries into groups. The result depends on the set of entries only, so that all entries
 * with the same set agree on it. Up to MaxDirectEntries entries, each is a group of its own. Above,
 * a group has about as many entries as there are groups, so that no entry reports to many more than
 * twice the square root of the number of entries. Adding or removing an entry moves few others to
 * another group, as long as the number of groups stays the same.
 */
std::vector<work_group> planGroups(std::vector<work_entry> Entries, std::size_t MaxDirectEntries);

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_GROUPS_FUNC_H
