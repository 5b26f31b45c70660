/** @file dispatcher_dump.cpp The dispatcher's state for operators and for failed invariants. */
#include "dispatch/dispatcher_base.h"

#include <sstream>

namespace pollenstall {

namespace {

request_dump dumpOf(const live_request &Request, mono_time Now) {
  const request_facts &Facts = Request.Facts;
  request_dump Dump;
  Dump.Request = Facts.Id;
  Dump.Account = Facts.Account;
  Dump.Service = Facts.Service;
  Dump.Model = Facts.Model;
  Dump.Prompt = Facts.Prompt;
  Dump.Phase = Request.Phase;
  Dump.Attempts = Request.Attempts;
  Dump.MayHaveRun = Request.mayHaveRun();
  if (Request.CurrentAttempt) {
    Dump.Backend = Request.CurrentAttempt->Backend;
    Dump.State = Request.CurrentAttempt->Lifecycle.state();
  }
  Dump.Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(Facts.Deadline - Now);
  return Dump;
}

} // namespace

dispatch_dump dispatcher::dump(mono_time Now) {
  dispatch_dump Dump;
  Dump.Ready = Ready;
  Dump.ShuttingDown = ShutdownBy.has_value();
  Dump.Counters = Counters;
  if (shared_retry_budget *Shared = Budget.shared())
    Dump.RetryBudgets = Shared->status(Now);
  for (const auto &[RequestId, Request] : Requests)
    Dump.Requests.push_back(dumpOf(Request, Now));
  Dump.Abandoned = Abandoned.dump(Now);
  return Dump;
}

std::string dispatcher::stateText() const {
  std::ostringstream Out;
  Out << Requests.size() << " live, " << Abandoned.size() << " abandoned\n";
  for (const auto &[RequestId, Request] : Requests) {
    Out << "request " << RequestId << " phase " << static_cast<int>(Request.Phase) << " attempts "
        << Request.Attempts << " claim " << static_cast<int>(Request.Claim) << " may-have-run "
        << Request.mayHaveRun();
    if (Request.CurrentAttempt)
      Out << " " << toText(Request.CurrentAttempt->Id) << " at "
          << toText(Request.CurrentAttempt->Backend) << " state "
          << static_cast<int>(Request.CurrentAttempt->Lifecycle.state());
    Out << "\n";
  }
  return Out.str();
}

void dispatcher::requireConsistent() const {
  const std::uint64_t Finished = Counters.Complete + Counters.NotRun + Counters.Unknown;
  requireInvariant(Counters.Arrived == Finished + Requests.size(),
                   "each request is live or has one final answer", [this] { return stateText(); });
  requireInvariant(Claiming <= Requests.size(), "requests waiting for a claim are live",
                   [this] { return stateText(); });
}

} // namespace pollenstall
