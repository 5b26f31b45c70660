/** @file dispatcher_attempt.cpp Starts, failures, resumes and ends of attempts. */
#include "dispatch/dispatcher_base.h"
#include "dispatch/outcome_func.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace {

/// A first byte later than this many times the expectation is slow.
constexpr int SlowFactor = 4;
/// Nothing is called slow earlier; expectations of short prompts are noisy.
constexpr mono_duration LeastPatience = std::chrono::seconds(30);
/// Where a target is declared nothing is called slow before this many times the target: its caller
/// still waits (callers of short streams leave after 2 s). At twice the target, engines that were
/// only full of the work of a fleet that had just restarted were left: 85 requests in a second.
constexpr int TargetFactor = 4;
constexpr std::uint32_t MostResumes = 3;
constexpr mono_duration ResumePause = std::chrono::milliseconds(200);

/// @return After which time without an answer an attempt is slow.
mono_duration patienceFor(const request_facts &Facts, mono_duration ExpectedFirstToken) {
  const mono_duration Least =
      Facts.Target.count() > 0 ? Facts.Target * TargetFactor : LeastPatience;
  return std::max(Least, ExpectedFirstToken * SlowFactor);
}

} // namespace

live_request *dispatcher::withCurrent(const attempt_id &Attempt) {
  if (Attempt.Owner != Self)
    return nullptr;
  live_request *Request = find(Attempt.Request);
  const bool Matches = Request != nullptr && Request->Current && Request->Current->Id == Attempt;
  return Matches ? Request : nullptr;
}

bool dispatcher::stepCurrent(const attempt_id &Attempt, attempt_step Step) {
  live_request *Request = withCurrent(Attempt);
  // While a resume waits, what arrives is left over from the connection that broke.
  const bool Fits = Request != nullptr && !Request->Current->ResumeAt;
  if (Fits && Request->Current->Lifecycle.apply(Step))
    return true;
  ignore();
  return false;
}

void dispatcher::place(const work_placement &Placement, mono_time Now) {
  live_request *Request = find(Placement.Request);
  if (Request == nullptr || Request->Phase != request_phase::Queued) {
    // The scheduler counts the placement as work in flight until it hears that none starts.
    if (Seam.Withdraw)
      Seam.Withdraw(Placement.Request);
    return ignore();
  }
  if (Request->Facts.Deadline <= Now)
    finishShort(*Request, failure_reason::DeadlineExceeded, std::nullopt, Now);
  else
    startAttempt(*Request, Placement, Now);
  sendDueCancels(Now);
}

void dispatcher::startAttempt(live_request &Request, const work_placement &Placement,
                              mono_time Now) {
  requireInvariant(!Request.Current, "a request has one attempt at a time",
                   [this] { return text(); });
  requireInvariant(Request.Facts.Idempotent || !Request.MayHaveRun,
                   "non-idempotent work that may have run is not started again",
                   [this] { return text(); });
  requireInvariant(!Request.standingUnknown(), "work with a key starts only under its claim",
                   [this] { return text(); });
  ++Request.Attempts;
  ++Counters.Attempts;
  if (Request.Attempts == 1)
    Budget.earn(Now);
  const bool MoreAllowed = Request.Attempts < mostAttempts(Request);
  const mono_time Patience = Now + patienceFor(Request.Facts, Placement.ExpectedFirstToken);
  // Where no other attempt may follow, giving a slow one up could only lose its answer.
  const bool MayMove = MoreAllowed && Request.Facts.Idempotent;
  const mono_time AnswerBy =
      MayMove ? std::min(Patience, Request.Facts.Deadline) : Request.Facts.Deadline;
  Request.Phase = request_phase::Running;
  Request.Current.emplace(running_attempt{{Self, Request.Facts.Id, Request.Attempts},
                                          Placement.Backend,
                                          attempt_lifecycle{},
                                          AnswerBy,
                                          0,
                                          std::nullopt,
                                          false});
  Request.Current->Lifecycle.apply(attempt_step::Start);
  const attempt_id Id = Request.Current->Id;
  Actions.emplace_back(start_attempt{Id,
                                     Placement.Backend,
                                     Placement.Priority,
                                     AnswerBy,
                                     MoreAllowed,
                                     Placement.Helpers,
                                     Placement.Holds,
                                     Placement.ExpectedFirstToken,
                                     {}});
  if (Seam.AttemptStarted)
    Seam.AttemptStarted({Id, Placement.Backend, Request.Facts.Id}, Now);
  setWake(Request);
}

void dispatcher::on(const attempt_sending &Event, mono_time /*Now*/) {
  if (abandoned_attempt *Late = Abandoned.find(Event.Attempt))
    Late->noteSending();
  stepCurrent(Event.Attempt, attempt_step::Sending);
}

void dispatcher::on(const attempt_answering &Event, mono_time Now) {
  if (stepCurrent(Event.Attempt, attempt_step::Answering)) {
    live_request &Request = *find(Event.Attempt.Request);
    setWake(Request);
    if (Seam.AttemptAnswering)
      Seam.AttemptAnswering(Event.Attempt, Now);
    return;
  }
  abandoned_attempt *Late = Abandoned.find(Event.Attempt);
  if (Late == nullptr)
    return;
  Late->noteAnswering();
  // The caller has part of an answer that was given up just before. Any other attempt's answer
  // would be glued to it and pass as whole, so the request ends here.
  if (live_request *Request = find(Event.Attempt.Request))
    finishShort(*Request, failure_reason::BackendFailed, std::nullopt, Now);
}

void dispatcher::on(const attempt_advanced &Event, mono_time Now) {
  if (!stepCurrent(Event.Attempt, attempt_step::Advance))
    return;
  if (Seam.AttemptAdvanced)
    Seam.AttemptAdvanced(Event.Attempt, Event.Events, Now);
}

void dispatcher::on(const attempt_completed &Event, mono_time Now) {
  if (abandoned_attempt *Late = Abandoned.find(Event.Attempt)) {
    ignore();
    Late->Lifecycle.apply(attempt_step::Complete);
    if (Late->ClaimKey)
      Actions.emplace_back(settle_claim{Event.Attempt.Request, *Late->ClaimKey,
                                        claim_standing::Complete, Late->ClaimLifetime});
    return endAbandoned(Event.Attempt, attempt_end::Completed, Now);
  }
  if (!stepCurrent(Event.Attempt, attempt_step::Complete))
    return;
  live_request &Request = *find(Event.Attempt.Request);
  const backend_key Backend = Request.Current->Backend;
  Request.Current.reset();
  reportEnd({Event.Attempt, Backend, attempt_end::Completed, std::nullopt, Event.PromptTokens,
             Event.AnswerTokens, Event.CachedTokens},
            Now);
  finishComplete(Request);
}

void dispatcher::on(const attempt_failed &Event, mono_time Now) {
  if (live_request *Request = withCurrent(Event.Attempt))
    return failAttempt(*Request, Event, Now);
  ignore();
  abandoned_attempt *Late = Abandoned.find(Event.Attempt);
  if (Late == nullptr || mayHoldMemory(failureInState(Event.Failure, Late->GivenUpIn)))
    return;
  Late->Lifecycle.apply(attempt_step::Fail);
  Late->Failure = Event.Failure;
  endAbandoned(Event.Attempt, attempt_end::Failed, Now);
}

void dispatcher::on(const cancel_confirmed &Event, mono_time Now) {
  abandoned_attempt *Late = Abandoned.find(Event.Attempt);
  if (Late == nullptr)
    return ignore();
  if (Event.NeverSeen && !Late->startIsOver(Now))
    return; // The cancel is repeated; a later answer tells.
  Late->Lifecycle.apply(attempt_step::Confirm);
  endAbandoned(Event.Attempt, attempt_end::Cancelled, Now);
}

void dispatcher::failAttempt(live_request &Request, const attempt_failed &Event, mono_time Now) {
  if (Request.Current->ResumeAt)
    return ignore(); // The connection is broken already; this tells of the same break.
  const attempt_state State = Request.Current->Lifecycle.state();
  const attempt_failure Failure = failureInState(Event.Failure, State);
  if (resumeAttempt(Request, Failure, Now))
    return;
  closeAttempt(Request, Failure, Now, Event.AtFault);
  // Another engine goes on behind the last event that the caller has.
  const bool GoesOn = Request.Facts.Resumable && mayResume(Failure);
  Request.Answered = Request.Answered || hasAnswered(State);
  if (hasAnswered(State) && !GoesOn)
    return finishShort(Request, failure_reason::BackendFailed, std::nullopt, Now);
  retryOrFinish(Request, Now);
}

bool dispatcher::resumeAttempt(live_request &Request, attempt_failure Failure, mono_time Now) {
  running_attempt &Current = *Request.Current;
  const bool Able = Seam.Resumes && Seam.Resumes(Current.Backend) && !Current.BackendGone;
  if (!mayResume(Failure) || !Able || Current.Resumes >= MostResumes)
    return false;
  if (!Current.Lifecycle.apply(attempt_step::Resume))
    return false;
  Current.ResumeAt = Now + ResumePause * Current.Resumes; // The first at once.
  ++Current.Resumes;
  ++Counters.Resumes;
  wakeAttempt(Request, Now);
  setWake(Request);
  return true;
}

void dispatcher::closeAttempt(live_request &Request, std::optional<attempt_failure> Failure,
                              mono_time Now, const backend_address &AtFault) {
  const bool Proved = Failure && provesNotRun(*Failure);
  const bool HoldsNothing = Failure && !mayHoldMemory(*Failure);
  Request.MayHaveRun = Request.MayHaveRun || !Proved;
  Request.Unsent += Failure && leftUnsent(*Failure) ? 1 : 0;
  Request.Tried.push_back(Request.Current->Backend);
  if (!HoldsNothing)
    return abandon(Request, Failure, Now);
  Request.Current->Lifecycle.apply(attempt_step::Fail);
  requireInvariant(Request.Current->Lifecycle.state() == attempt_state::Failed,
                   "an attempt that holds nothing has failed", [this] { return text(); });
  attempt_ending Ending;
  Ending.Attempt = Request.Current->Id;
  Ending.Backend = Request.Current->Backend;
  Ending.End = attempt_end::Failed;
  Ending.Failure = Failure;
  Ending.AtFault = AtFault;
  Request.Current.reset();
  reportEnd(Ending, Now);
}

void dispatcher::abandon(live_request &Request, std::optional<attempt_failure> Failure,
                         mono_time Now) {
  running_attempt Current = std::move(*Request.Current);
  Request.Current.reset();
  if (Current.BackendGone) {
    Current.Lifecycle.apply(attempt_step::BackendGone);
    Actions.emplace_back(cancel_attempt{Current.Id, Current.Backend}); // Closes the connection.
    return reportEnd({Current.Id, Current.Backend, attempt_end::BackendGone, Failure, std::nullopt,
                      std::nullopt, std::nullopt},
                     Now);
  }
  ++Counters.Abandoned;
  const attempt_id Id = Current.Id;
  abandoned_attempt Given;
  Given.Attempt = Id;
  Given.Backend = Current.Backend;
  Given.GivenUpIn = Current.Lifecycle.state();
  Given.Lifecycle = std::move(Current.Lifecycle);
  Given.Lifecycle.apply(attempt_step::Cancel);
  Given.Failure = Failure;
  Given.Since = Now;
  if (Request.Claim == claim_progress::Granted) {
    Given.ClaimKey = Request.ClaimKey;
    Given.ClaimLifetime = Request.ClaimLifetime;
  }
  Abandoned.add(std::move(Given), Now);
  if (Seam.AttemptAbandoned)
    Seam.AttemptAbandoned(Id, Failure, Now);
}

void dispatcher::endAbandoned(const attempt_id &Attempt, attempt_end End, mono_time Now) {
  const abandoned_attempt Ended = Abandoned.take(Attempt);
  reportEnd({Attempt, Ended.Backend, End, Ended.Failure, std::nullopt, std::nullopt, std::nullopt},
            Now);
}

void dispatcher::reportEnd(const attempt_ending &Ending, mono_time Now) const {
  if (Seam.AttemptEnded)
    Seam.AttemptEnded(Ending, Now);
}

} // namespace pollenstall
