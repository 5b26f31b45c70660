/** @file dispatch_simulation_relay.cpp Simulated relays and engines. */
#include "dispatch_simulation.h"

namespace pollenstall {

using std::chrono::milliseconds;

std::size_t dispatch_simulation::engineIndex(const backend_key &Backend) const {
  return static_cast<std::size_t>(std::stoul(Backend.Address.str()));
}

void dispatch_simulation::failConnection(std::size_t Entry, const attempt_id &Attempt,
                                         attempt_failure Failure) {
  relay_connection &Connection = Entries.at(Entry).Connections[Attempt];
  if (!Connection.Open)
    return;
  Connection.Open = false;
  postEvent(Entry, attempt_failed{Attempt, Failure});
}

void dispatch_simulation::act(std::size_t Entry, const start_attempt &Action) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  Incarnation.Connections[Action.Attempt] = {Action.Backend, true, 0, 0};
  const attempt_id Id = Action.Attempt;
  // The relay reports NotWanted here; to the dispatcher, both prove that no byte was sent.
  if (Incarnation.AnsweringAttempts.count(Id.Request) != 0)
    return failConnection(Entry, Id, attempt_failure::BrokenUnsent);
  afterAtEntry(Entry, delay(), [this, Entry, Id, Backend = Action.Backend] {
    if (!Entries.at(Entry).Connections[Id].Open)
      return;
    if (chance(0.1))
      return failConnection(Entry, Id, attempt_failure::NotConnected);
    if (chance(0.05))
      return failConnection(Entry, Id, attempt_failure::BrokenUnsent);
    postEvent(Entry, attempt_sending{Id});
    if (!chance(0.05)) // Bytes in the kernel's buffer arrive even if the entry terminates.
      after(delay(), [this, Entry, Id, Backend] {
        receiveAttempt(Entry, engineIndex(Backend), Id, Backend);
      });
    if (chance(0.1))
      afterAtEntry(Entry, delay(),
                   [this, Entry, Id] { failConnection(Entry, Id, attempt_failure::BrokenSent); });
    if (chance(0.3))
      afterAtEntry(Entry, delay(), [this, Entry, Id] { postEvent(Entry, attempt_silent{Id}); });
  });
}

void dispatch_simulation::receiveAttempt(std::size_t Entry, std::size_t Index,
                                         const attempt_id &Attempt, const backend_key &Intended) {
  fake_engine &Engine = Engines.at(Index);
  const bool IsOwner = Entries.at(Entry).Self == Attempt.Owner;
  const bool Declines = Engine.Key != Intended || chance(0.1);
  if (Declines) {
    if (IsOwner)
      afterAtEntry(Entry, delay(), [this, Entry, Attempt] {
        failConnection(Entry, Attempt, attempt_failure::Declined);
      });
    return;
  }
  const submission_index Submission = SubmissionOf.at({Attempt.Owner, Attempt.Request});
  ++Tasks[Submission.first].Starts;
  ++Tasks[Submission.first].Submissions[Submission.second].Starts;
  Engine.Running[Attempt] = 0;
  Engine.StartedAttempts.insert(Attempt);
  if (chance(0.08))
    return; // Hangs until it is cancelled.
  if (chance(0.08)) {
    Engine.Running.erase(Attempt);
    if (IsOwner)
      afterAtEntry(Entry, delay(), [this, Entry, Attempt] {
        failConnection(Entry, Attempt, attempt_failure::ErrorAnswer);
      });
    return;
  }
  after(delay() * 3,
        [this, Entry, Index, Attempt] { produceAnswerPart(Entry, Index, Attempt, 0, 0); });
}

void dispatch_simulation::produceAnswerPart(std::size_t Entry, std::size_t Index,
                                            const attempt_id &Attempt, std::uint32_t Generation,
                                            std::uint32_t Part) {
  fake_engine &Engine = Engines.at(Index);
  const bool IsComplete = Engine.CompletedAttempts.count(Attempt) != 0;
  if (!IsComplete && Engine.Running.count(Attempt) == 0)
    return;
  if (!IsComplete && Part + 1 == AnswerParts) {
    ++Tasks[SubmissionOf.at({Attempt.Owner, Attempt.Request}).first].CompletedRuns;
    Engine.Running.erase(Attempt);
    Engine.CompletedAttempts.insert(Attempt);
  }
  if (Part + 1 < AnswerParts)
    after(delay() * 3 + milliseconds(60), [this, Entry, Index, Attempt, Generation, Part] {
      produceAnswerPart(Entry, Index, Attempt, Generation, Part + 1);
    });
  if (Entries.at(Entry).Self != Attempt.Owner)
    return;
  attempt_id Connection = Attempt;
  if (chance(0.02)) // Misrouted: the part arrives on another connection.
    for (const auto &[Other, Unused] : Entries.at(Entry).Connections)
      Connection = Other;
  afterAtEntry(Entry, delay() / 60, [this, Entry, Attempt, Connection, Generation, Part] {
    relayAnswerPart(Entry, Attempt, Connection, Generation, Part);
  });
}

void dispatch_simulation::relayAnswerPart(std::size_t Entry, const attempt_id &From,
                                          const attempt_id &ConnectionId, std::uint32_t Generation,
                                          std::uint32_t Part) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  relay_connection &Connection = Incarnation.Connections[ConnectionId];
  if (!Connection.Open)
    return;
  if (From != ConnectionId)
    return failConnection(Entry, ConnectionId, attempt_failure::BadAnswer);
  if (Generation != Connection.Generation)
    return;
  const auto AnsweringAttempt = Incarnation.AnsweringAttempts.find(ConnectionId.Request);
  const bool First = AnsweringAttempt == Incarnation.AnsweringAttempts.end();
  // Another attempt answers the caller; the relay drops this one without a report.
  if (!First && AnsweringAttempt->second != ConnectionId) {
    Connection.Open = false;
    return;
  }
  if (Part != Connection.NextPart)
    return failConnection(Entry, ConnectionId, attempt_failure::BadAnswer);
  if (chance(0.08))
    return failConnection(Entry, ConnectionId,
                          First ? attempt_failure::BrokenSent : attempt_failure::BrokenMidway);
  Incarnation.AnsweringAttempts[ConnectionId.Request] = ConnectionId;
  ++Connection.NextPart;
  const submission_index Submission = SubmissionOf.at({ConnectionId.Owner, ConnectionId.Request});
  Tasks[Submission.first].Submissions[Submission.second].ReceivedParts.push_back({From, Part});
  if (First)
    postEvent(Entry, attempt_answering{ConnectionId});
  else
    postEvent(Entry, attempt_advanced{ConnectionId, 1});
  if (Part + 1 < AnswerParts)
    return;
  Connection.Open = false;
  postEvent(Entry, attempt_completed{ConnectionId, {}, {}, {}});
}

void dispatch_simulation::act(std::size_t Entry, const resume_attempt &Action) {
  relay_connection &Connection = Entries.at(Entry).Connections[Action.Attempt];
  Connection.Open = true;
  ++Connection.Generation;
  const fake_engine &Engine = Engines.at(engineIndex(Action.Backend));
  const bool CanResume =
      Engine.Key == Action.Backend && Engine.CompletedAttempts.count(Action.Attempt) != 0;
  if (!CanResume || Connection.NextPart >= AnswerParts)
    return failConnection(Entry, Action.Attempt, attempt_failure::BrokenMidway);
  after(delay(), [this, Entry, Id = Action.Attempt, Backend = Action.Backend,
                  Generation = Connection.Generation, Part = Connection.NextPart] {
    produceAnswerPart(Entry, engineIndex(Backend), Id, Generation, Part);
  });
}

void dispatch_simulation::act(std::size_t Entry, const cancel_attempt &Action) {
  Entries.at(Entry).Connections[Action.Attempt].Open = false;
  if (chance(0.3))
    return;
  after(delay(), [this, Entry, Id = Action.Attempt, Backend = Action.Backend] {
    if (Engines.at(engineIndex(Backend)).Key == Backend)
      cancelAttempt(Entry, engineIndex(Backend), Id);
  });
}

void dispatch_simulation::cancelAttempt(std::size_t Entry, std::size_t Index,
                                        const attempt_id &Attempt) {
  fake_engine &Engine = Engines.at(Index);
  Engine.Running.erase(Attempt);
  const bool NeverSeen = Engine.StartedAttempts.count(Attempt) == 0;
  if (!chance(0.3) && Entries.at(Entry).Self == Attempt.Owner)
    afterAtEntry(Entry, delay(), [this, Entry, Attempt, NeverSeen] {
      postEvent(Entry, cancel_confirmed{Attempt, NeverSeen});
    });
}

void dispatch_simulation::restartEngine(std::size_t Index) {
  fake_engine &Engine = Engines.at(Index);
  const backend_key Dead = Engine.Key;
  Engine = {};
  Engine.Key = {Dead.Address, Dead.Incarnation.next()};
  for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry) {
    afterAtEntry(Entry, delay() * 10, [this, Entry, Dead] {
      Entries.at(Entry).Dispatch->backendGone(Dead, Now);
      executeActions(Entry);
    });
    for (const auto &[Attempt, Connection] : Entries.at(Entry).Connections)
      if (Connection.Backend == Dead && Connection.Open)
        afterAtEntry(Entry, delay(), [this, Entry, Id = Attempt] {
          const bool PartlyAnswered = Entries.at(Entry).Connections[Id].NextPart > 0;
          failConnection(Entry, Id,
                         PartlyAnswered ? attempt_failure::BrokenMidway
                                        : attempt_failure::BrokenSent);
        });
  }
}

} // namespace pollenstall
