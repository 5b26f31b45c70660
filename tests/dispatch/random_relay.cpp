/** @file random_relay.cpp The shuffled world's relays and engines. */
#include "random_world.h"

namespace pollenstall {

using std::chrono::milliseconds;

std::size_t random_world::engineOf(const backend_key &Backend) const {
  return static_cast<std::size_t>(std::stoul(Backend.Address.str()));
}

void random_world::failConnection(std::size_t Entry, const attempt_id &Attempt,
                                  attempt_failure Failure) {
  relay_connection &Connection = Entries.at(Entry).Connections[Attempt];
  if (!Connection.Open)
    return;
  Connection.Open = false;
  tell(Entry, attempt_failed{Attempt, Failure});
}

void random_world::act(std::size_t Entry, const start_attempt &Action) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  Incarnation.Connections[Action.Attempt] = {Action.Backend, true, 0, 0};
  const attempt_id Id = Action.Attempt;
  if (Incarnation.Relaying.count(Id.Request) != 0)
    return failConnection(Entry, Id, attempt_failure::BrokenUnsent);
  afterAt(Entry, delay(), [this, Entry, Id, Backend = Action.Backend] {
    if (!Entries.at(Entry).Connections[Id].Open)
      return;
    if (chance(0.1))
      return failConnection(Entry, Id, attempt_failure::NotConnected);
    if (chance(0.05))
      return failConnection(Entry, Id, attempt_failure::BrokenUnsent);
    tell(Entry, attempt_sending{Id});
    if (!chance(0.05)) // Bytes in a kernel's buffer arrive even if the entry dies.
      after(delay(),
            [this, Entry, Id, Backend] { engineHears(Entry, engineOf(Backend), Id, Backend); });
    if (chance(0.1))
      afterAt(Entry, delay(),
              [this, Entry, Id] { failConnection(Entry, Id, attempt_failure::BrokenSent); });
  });
}

void random_world::engineHears(std::size_t Entry, std::size_t Index, const attempt_id &Attempt,
                               const backend_key &Meant) {
  fake_engine &Engine = Engines.at(Index);
  const bool Ours = Entries.at(Entry).Self == Attempt.Owner;
  const bool Declines = Engine.Key != Meant || chance(0.1);
  if (Declines) {
    if (Ours)
      afterAt(Entry, delay(), [this, Entry, Attempt] {
        failConnection(Entry, Attempt, attempt_failure::Declined);
      });
    return;
  }
  const send_index Send = SendOf.at({Attempt.Owner, Attempt.Request});
  ++Works[Send.first].Starts;
  ++Works[Send.first].Sends[Send.second].Starts;
  Engine.Running[Attempt] = 0;
  Engine.Known.insert(Attempt);
  if (chance(0.08))
    return; // Hangs until it is cancelled.
  if (chance(0.08)) {
    Engine.Running.erase(Attempt);
    if (Ours)
      afterAt(Entry, delay(), [this, Entry, Attempt] {
        failConnection(Entry, Attempt, attempt_failure::ErrorAnswer);
      });
    return;
  }
  after(delay() * 3,
        [this, Entry, Index, Attempt] { engineProduces(Entry, Index, Attempt, 0, 0); });
}

void random_world::engineProduces(std::size_t Entry, std::size_t Index, const attempt_id &Attempt,
                                  std::uint32_t Generation, std::uint32_t Part) {
  fake_engine &Engine = Engines.at(Index);
  const bool Whole = Engine.Produced.count(Attempt) != 0;
  if (!Whole && Engine.Running.count(Attempt) == 0)
    return;
  if (!Whole && Part + 1 == PartsOfAnswer) {
    ++Works[SendOf.at({Attempt.Owner, Attempt.Request}).first].Finished;
    Engine.Running.erase(Attempt);
    Engine.Produced.insert(Attempt);
  }
  if (Part + 1 < PartsOfAnswer)
    after(delay() * 3 + milliseconds(60), [this, Entry, Index, Attempt, Generation, Part] {
      engineProduces(Entry, Index, Attempt, Generation, Part + 1);
    });
  if (Entries.at(Entry).Self != Attempt.Owner)
    return;
  attempt_id Connection = Attempt;
  if (chance(0.02)) // Crossed: it comes out of another connection.
    for (const auto &[Other, Unused] : Entries.at(Entry).Connections)
      Connection = Other;
  afterAt(Entry, delay() / 60, [this, Entry, Attempt, Connection, Generation, Part] {
    relayPart(Entry, Attempt, Connection, Generation, Part);
  });
}

void random_world::relayPart(std::size_t Entry, const attempt_id &From, const attempt_id &On,
                             std::uint32_t Generation, std::uint32_t Part) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  relay_connection &Connection = Incarnation.Connections[On];
  if (!Connection.Open)
    return;
  if (From != On)
    return failConnection(Entry, On, attempt_failure::BadAnswer);
  if (Generation != Connection.Generation)
    return;
  const auto Relaying = Incarnation.Relaying.find(On.Request);
  const bool First = Relaying == Incarnation.Relaying.end();
  if (Part != Connection.NextPart)
    return failConnection(Entry, On, attempt_failure::BadAnswer);
  if (chance(0.08))
    return failConnection(Entry, On,
                          First ? attempt_failure::BrokenSent : attempt_failure::BrokenMidway);
  Incarnation.Relaying[On.Request] = On;
  ++Connection.NextPart;
  const send_index Send = SendOf.at({On.Owner, On.Request});
  Works[Send.first].Sends[Send.second].Got.push_back({From, Part});
  if (First)
    tell(Entry, attempt_answering{On});
  else
    tell(Entry, attempt_advanced{On, 1});
  if (Part + 1 < PartsOfAnswer)
    return;
  Connection.Open = false;
  tell(Entry, attempt_completed{On, {}, {}, {}});
}

void random_world::act(std::size_t Entry, const resume_attempt &Action) {
  relay_connection &Connection = Entries.at(Entry).Connections[Action.Attempt];
  Connection.Open = true;
  ++Connection.Generation;
  const fake_engine &Engine = Engines.at(engineOf(Action.Backend));
  const bool Known = Engine.Key == Action.Backend && Engine.Produced.count(Action.Attempt) != 0;
  if (!Known || Connection.NextPart >= PartsOfAnswer)
    return failConnection(Entry, Action.Attempt, attempt_failure::BrokenMidway);
  after(delay(), [this, Entry, Id = Action.Attempt, Backend = Action.Backend,
                  Generation = Connection.Generation, Part = Connection.NextPart] {
    engineProduces(Entry, engineOf(Backend), Id, Generation, Part);
  });
}

void random_world::act(std::size_t Entry, const cancel_attempt &Action) {
  Entries.at(Entry).Connections[Action.Attempt].Open = false;
  if (chance(0.3))
    return;
  after(delay(), [this, Entry, Id = Action.Attempt, Backend = Action.Backend] {
    if (Engines.at(engineOf(Backend)).Key == Backend)
      engineCancels(Entry, engineOf(Backend), Id);
  });
}

void random_world::engineCancels(std::size_t Entry, std::size_t Index, const attempt_id &Attempt) {
  fake_engine &Engine = Engines.at(Index);
  Engine.Running.erase(Attempt);
  const bool NeverSeen = Engine.Known.count(Attempt) == 0;
  if (!chance(0.3) && Entries.at(Entry).Self == Attempt.Owner)
    afterAt(Entry, delay(), [this, Entry, Attempt, NeverSeen] {
      tell(Entry, cancel_confirmed{Attempt, NeverSeen});
    });
}

void random_world::engineDies(std::size_t Index) {
  fake_engine &Engine = Engines.at(Index);
  const backend_key Dead = Engine.Key;
  Engine = {};
  Engine.Key = {Dead.Address, Dead.Incarnation.next()};
  for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry) {
    afterAt(Entry, delay() * 10, [this, Entry, Dead] {
      Entries.at(Entry).Dispatch->backendGone(Dead, Now);
      pump(Entry);
    });
    for (const auto &[Attempt, Connection] : Entries.at(Entry).Connections)
      if (Connection.Backend == Dead && Connection.Open)
        afterAt(Entry, delay(), [this, Entry, Id = Attempt] {
          const bool Answered = Entries.at(Entry).Connections[Id].NextPart > 0;
          failConnection(Entry, Id,
                         Answered ? attempt_failure::BrokenMidway : attempt_failure::BrokenSent);
        });
  }
}

} // namespace pollenstall
