/** @file answer_stream.cpp Writes event streams and injects the faults that end them early. */
#include "fake_backend/answer_stream_base.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace pollenstall {

namespace {
constexpr std::size_t MaxWriteBytes = 64UL << 10U;
} // namespace

answer_stream::answer_stream(backend_server &OwningServer, session_ptr ClientSession,
                             job_ptr StreamedJob, std::int64_t FirstEvent)
    : Server(OwningServer), Session(std::move(ClientSession)), Job(std::move(StreamedJob)),
      NextEvent(FirstEvent), LastEvent(eventCount(Job->Answer)) {
  if (consumeFault(Server.Faults.NoDoneNext))
    --LastEvent;
  if (const auto BreakAfter = std::exchange(Server.Faults.CutAfterEvents, std::nullopt)) {
    LastEvent = std::min(LastEvent, NextEvent + *BreakAfter - 1);
    BreakAfterLastEvent = true;
  }
  ++Server.OpenAnswers;
}

void answer_stream::start(const std::string &EchoedAttempt) {
  Session->openStream(EchoedAttempt);
  const std::weak_ptr<answer_stream> Weak = weak_from_this();
  ReaderId = engine::attachReader(*Job, [Weak] {
    if (const auto Self = Weak.lock())
      Self->writeAvailableEvents();
  });
  Session->setDisconnectHandler([Self = shared_from_this()] { Self->onDisconnected(); });
  writeAvailableEvents();
}

void answer_stream::onDisconnected() {
  --Server.OpenAnswers;
  Server.Engine.detachReader(Job, ReaderId, boot_clock::now());
}

std::string answer_stream::encodeAvailableEvents() {
  std::string Events;
  const std::int64_t LastAvailable = std::min(Job->eventsReady(), LastEvent);
  while (NextEvent <= LastAvailable && Events.size() < MaxWriteBytes && !KillAfterWrite) {
    appendEvent(Events, Job->Answer, NextEvent++);
    ++Server.EventsSent;
    KillAfterWrite = Server.Faults.DieAfterEvents && --*Server.Faults.DieAfterEvents <= 0;
  }
  return Events;
}

void answer_stream::writeAvailableEvents() {
  if (Session->writing() || Session->closed() || KillAfterWrite)
    return;
  if (Job->State == job_state::Cancelled || (BreakAfterLastEvent && NextEvent > LastEvent)) {
    Session->close();
    return;
  }
  const std::string Events = encodeAvailableEvents();
  const auto OnComplete = [Self = shared_from_this()] { Self->onWritten(); };
  if (NextEvent > LastEvent && !BreakAfterLastEvent)
    Session->finishStream(Events, OnComplete);
  else if (!Events.empty())
    Session->writeEvents(Events, OnComplete);
}

void answer_stream::onWritten() {
  if (KillAfterWrite)
    std::raise(SIGKILL);
  if (NextEvent <= LastEvent || BreakAfterLastEvent) {
    writeAvailableEvents();
    return;
  }
  Job->Delivered = isComplete();
  Job->OnProgress = nullptr;
  --Server.OpenAnswers;
}

} // namespace pollenstall
