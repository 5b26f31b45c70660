/** @file scheduler_evacuation.cpp Work while failure domains are evacuated. */
#include "scheduling/scheduler_base.h"

#include <limits>
#include <utility>
#include <vector>

namespace pollenstall {

void scheduler::setEvacuations(const evacuation_list &List, mono_time Now) {
  Pool.setEvacuations(List);
  ReservedForLong.reset(); // The reserved engine may be out now.
  NextReview = mono_time();
  if (!Queue.empty())
    NextWake = Now;
}

/// Returns whether all servers that could run the request are out. Servers that are leaving get no
/// work either, but one that only seems lost may return at any time, so work waits for it.
bool scheduler::isEvacuated(const work_item &Item) {
  if (!Pool.anyEvacuated())
    return false;
  bool AnyIsOut = false;
  bool AnyMayServe = false;
  const auto CheckGroup = [&](const group_name &Group) {
    for (const scheduled_backend *Record : Pool.members(Item.Service, Group)) {
      if (!Record->serves(Item) || Record->View.Status == backend_status::Leaving)
        continue;
      AnyIsOut = AnyIsOut || Record->Evacuated;
      AnyMayServe = AnyMayServe || !Record->Evacuated;
    }
  };
  if (Item.Groups.empty())
    CheckGroup(group_name());
  for (const candidate_group &Candidate : Item.Groups)
    CheckGroup(Candidate.Group);
  return AnyIsOut && !AnyMayServe;
}

/// Refuses the waiting work that no server may run. Resumed streams wait: a refusal would truncate
/// an answer that their callers have in part.
void scheduler::refuseEvacuated(mono_time Now, poll_outcome &Outcome) {
  if (!Pool.anyEvacuated())
    return;
  constexpr std::size_t All = std::numeric_limits<std::size_t>::max();
  std::vector<std::pair<request_number, mono_time>> Refused;
  for (const length_class Class : {length_class::Short, length_class::Medium, length_class::Long})
    for (const waiting_work *Work : Queue.candidates(Class, All, All))
      if (!Work->Item.Resumed && isEvacuated(Work->Item))
        Refused.emplace_back(Work->Item.Request, Work->Item.Deadline);
  for (const auto &[Request, Deadline] : Refused) {
    Queue.withdraw(Request);
    const work_refusal Refusal{failure_reason::NoBackend, evacuationRetryAfter(Deadline - Now)};
    Outcome.Expiries.push_back({Request, Refusal});
  }
}

} // namespace pollenstall
