/** @file stream_answer.cpp Streams, and the faults that end them early. */
#include "fake_backend/stream_answer_base.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace pollenstall {

namespace {
constexpr std::size_t WriteBytes = 64UL << 10U;
} // namespace

stream_answer::stream_answer(backend_server &Server, session_ptr Peer, job_ptr Source,
                             std::int64_t FirstEvent)
    : Owner(Server), Session(std::move(Peer)), Job(std::move(Source)), Next(FirstEvent),
      LastEvent(eventCount(Job->Answer)) {
  if (strikes(Owner.Faults.NoDoneNext))
    --LastEvent;
  if (const auto Cut = std::exchange(Owner.Faults.CutAfterEvents, std::nullopt)) {
    LastEvent = std::min(LastEvent, Next + *Cut - 1);
    CutsAtEnd = true;
  }
  ++Owner.OpenAnswers;
}

void stream_answer::start(const std::string &Echo) {
  Session->openStream(Echo);
  const std::weak_ptr<stream_answer> Weak = weak_from_this();
  Reader = engine::attach(*Job, [Weak] {
    if (const auto Self = Weak.lock())
      Self->pump();
  });
  Session->onBroken([Self = shared_from_this()] { Self->leave(); });
  pump();
}

void stream_answer::leave() {
  --Owner.OpenAnswers;
  Owner.Engine.detach(Job, Reader, boot_clock::now());
}

std::string stream_answer::takeEvents() {
  std::string Events;
  const std::int64_t Ready = std::min(Job->eventsReady(), LastEvent);
  while (Next <= Ready && Events.size() < WriteBytes && !Dies) {
    appendEvent(Events, Job->Answer, Next++);
    ++Owner.EventsSent;
    Dies = Owner.Faults.DieAfterEvents && --*Owner.Faults.DieAfterEvents <= 0;
  }
  return Events;
}

void stream_answer::pump() {
  if (Session->writing() || Session->closed() || Dies)
    return;
  if (Job->State == job_state::Cancelled || (CutsAtEnd && Next > LastEvent)) {
    Session->close();
    return;
  }
  const std::string Events = takeEvents();
  const auto Then = [Self = shared_from_this()] { Self->written(); };
  if (Next > LastEvent && !CutsAtEnd)
    Session->finishStream(Events, Then);
  else if (!Events.empty())
    Session->writeEvents(Events, Then);
}

void stream_answer::written() {
  if (Dies)
    std::raise(SIGKILL);
  if (Next <= LastEvent || CutsAtEnd) {
    pump();
    return;
  }
  Job->Delivered = ended();
  Job->OnProgress = nullptr;
  --Owner.OpenAnswers;
}

} // namespace pollenstall
