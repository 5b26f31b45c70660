/** @file backend_exchange_stream.cpp Passes on event streams that end with their message. */
#include "relay/backend_exchange_base.h"
#include "relay/open_event_scanner_base.h"

namespace pollenstall {

namespace asio = boost::asio;

namespace {

/// A stream whose engine is silent for so many times its declared gap is asked for elsewhere. It is
/// late by then; its caller leaves after eight gaps or two seconds.
constexpr int SilentGaps = 3;
/// Passes with a long read take up to that on engines that work.
constexpr std::chrono::milliseconds LeastSilence{500};

} // namespace

/// An engine without power resets nothing: only the time since its last event tells.
void backend_exchange::watchSilence() {
  const std::chrono::milliseconds Gap = Call->Facts.LongestGap;
  if (!Order.MayRetry || !Call->Facts.Resumable || Gap.count() == 0)
    return;
  Link->expireAt(
      std::min(boot_clock::now() + std::max<mono_duration>(LeastSilence, Gap * SilentGaps),
               Call->Facts.Deadline + DeadlineGrace));
}

asio::awaitable<bool> backend_exchange::passEvents(std::string_view Ready, std::uint64_t Events) {
  using part_state = caller_connection::part_state;
  // Told first: an attempt whose bytes the caller may have must not be taken for unanswered.
  noteRelayed(Events, Ready.size());
  if (Call->Stage == answer_stage::None)
    co_return co_await startAnswer(answer_framing::Chunked, Ready);
  Call->RelayedBy = Order.Attempt.Ordinal;
  const part_state Part = Call->Caller->tryPart(Ready);
  if (Part == part_state::Waiting)
    co_return co_await Call->Caller->flush();
  co_return Part == part_state::Written;
}

/**
 * Only whole events are passed on: half an event before a break could not be completed by another
 * engine. Events that the caller has already, of an engine that goes back a little, are left out.
 */
asio::awaitable<exchange_end> backend_exchange::relayOpenEvents() {
  open_event_scanner Events(Call->LastEvent);
  Call->Relaying = true;
  Unframed = !Feed->message().chunked() && !Feed->message().content_length();
  boost::system::error_code Code;
  bool Closed = false;
  while (true) {
    const bool Done = Feed->done() || Closed;
    const auto Scan = Events.scan(Feed->body(), Done);
    if (!succeeded(Scan))
      co_return exchange_end{Call->Stage == answer_stage::None ? attempt_failure::BadAnswer
                                                               : attempt_failure::BrokenMidway,
                             {}};
    const open_event_scan &Found = valueOf(Scan);
    if (!Found.Ready.empty() || (Done && Call->Stage == answer_stage::None)) {
      const bool Passed = co_await passEvents(Found.Ready, Found.Events);
      Call->LastEvent = Events.lastId();
      if (!Passed) {
        Context.noteCallerGone(*Call);
        Abandoned = true;
      }
    }
    Feed->body().erase(0, Found.Taken);
    if (Done && !Abandoned)
      break;
    const bool TooLong = Feed->body().size() > Context.Limits.MaxEventBytes;
    // Only now: time that the caller takes to read is not the engine's.
    if (Answering)
      watchSilence();
    if (!Abandoned && !TooLong)
      co_await Link->waitRead(Code);
    const bool Read = !Abandoned && !TooLong && !Code && feedReady();
    // A server that ends its answer by closing has ended it; one that was reset has not.
    Closed = !Read && !Abandoned && !TooLong && Unframed && Link->closedCleanly();
    if (!Read && !Closed)
      co_return exchange_end{Call->Stage == answer_stage::None ? attempt_failure::BrokenSent
                                                               : attempt_failure::BrokenMidway,
                             {}};
  }
  if (!co_await Call->Caller->writeEnd())
    Context.noteCallerGone(*Call);
  Call->Stage = answer_stage::Ended;
  co_return exchange_end{std::nullopt, {}};
}

} // namespace pollenstall
