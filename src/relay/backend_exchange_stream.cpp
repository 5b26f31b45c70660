/** @file backend_exchange_stream.cpp Relays event streams that end with their HTTP message. */
#include "relay/backend_exchange_base.h"
#include "relay/open_event_scanner_base.h"

namespace pollenstall {

namespace asio = boost::asio;

namespace {

/// A stream whose engine sends nothing for this many times its declared gap is also requested from
/// another engine. Waiting longer leaves too little time: callers disconnect after eight gaps or
/// two seconds.
constexpr int SilentGaps = 3;
/// On working engines, a pass with a long prefill takes up to this long.
constexpr std::chrono::milliseconds MinSilence{500};
/// How soon a silence that all servers share is looked at again.
constexpr std::chrono::milliseconds SharedSilenceCheck{50};

} // namespace

mono_duration backend_exchange::silenceLimit() const {
  return std::max<mono_duration>(MinSilence, Call->Facts.LongestGap * SilentGaps);
}

/// An engine that lost power sends no reset; only the time since its last event shows the failure.
void backend_exchange::watchSilence() {
  if (Order.MayRetry && Call->Facts.Resumable && Call->Facts.LongestGap.count() > 0)
    Connection->watchSilence(SilentFor = silenceLimit());
}

mono_duration backend_exchange::reportSilence() {
  if (Context.Activity.isShared(Order.Backend, SilentFor, silenceLimit(), boot_clock::now())) {
    SilentFor += SharedSilenceCheck;
    return SharedSilenceCheck;
  }
  SilenceReported = true;
  Call->Answerer = answerer_state::Silent;
  Context.Outbox.push(attempt_silent{Order.Attempt});
  return silenceLimit();
}

asio::awaitable<bool> backend_exchange::forwardEvents(std::string_view Ready,
                                                      std::uint64_t Events) {
  using part_state = caller_connection::part_state;
  // Report first: an attempt whose bytes the caller may have must not count as unanswered.
  noteRelayed(Events, Ready.size());
  if (Call->Stage == answer_stage::None)
    co_return co_await startAnswer(answer_framing::Chunked, Ready);
  takeCaller();
  const part_state Part = Call->Caller->tryPart(Ready);
  if (Part == part_state::Waiting)
    co_return co_await Call->Caller->flush();
  co_return Part == part_state::Written;
}

/**
 * Relays only complete events: another engine could not complete half an event sent before a break.
 * If a new engine starts a little earlier, the events that the caller already has are dropped.
 */
asio::awaitable<exchange_end> backend_exchange::relayOpenEvents() {
  open_event_scanner Events(Call->LastEvent);
  beginRelaying();
  Connection->onSilence([this] { return reportSilence(); });
  EndsWithConnection = Progress.Framing == body_framing::Connection;
  boost::system::error_code Code;
  while (true) {
    const auto Scan = Events.scan(Feed.body());
    if (!succeeded(Scan))
      co_return exchange_end{Call->Stage == answer_stage::None ? attempt_failure::BadAnswer
                                                               : attempt_failure::BrokenMidway,
                             {}};
    const open_event_scan &Found = valueOf(Scan);
    Progress.Events += Found.Events;
    Progress.UnfinishedBytes = Events.unfinishedBytes();
    Feed.body().erase(0, Found.Consumed);
    const answer_end End = judgeEnd().End;
    // The rest of a whole stream is line ends.
    const std::string Ready = End == answer_end::Whole ? Found.Ready + Feed.body() : Found.Ready;
    const bool IsWhole = End == answer_end::Whole;
    if ((!Ready.empty() || IsWhole) && !mayRelay())
      co_return yieldToOther();
    if (!Ready.empty() || (IsWhole && Call->Stage == answer_stage::None)) {
      Call->LastEvent = Events.lastId();
      if (!co_await forwardEvents(Ready, Found.Events)) {
        Context.noteCallerGone(*Call);
        Abandoned = true;
      }
    }
    if (IsWhole && !Abandoned)
      break;
    const bool TooLong = isEventTooLong();
    // The timeout starts only here: time that the caller takes to read does not count against the
    // engine.
    if (Answering)
      watchSilence();
    const bool GoesOn = End == answer_end::Unfinished && !Abandoned && !TooLong;
    if (GoesOn)
      co_await Connection->waitRead(Code);
    // A read that fails ends the answer: as a whole one only if the server closed the connection.
    const bool MayGoOn =
        GoesOn && !Abandoned && !Code && (feedAvailable() || judgeEnd().End == answer_end::Whole);
    if (!MayGoOn)
      co_return exchange_end{Call->Stage == answer_stage::None ? attempt_failure::BrokenSent
                                                               : attempt_failure::BrokenMidway,
                             {}};
  }
  takeCaller();
  if (!co_await Call->Caller->writeEnd())
    Context.noteCallerGone(*Call);
  Call->Stage = answer_stage::Ended;
  co_return exchange_end{std::nullopt, {}};
}

} // namespace pollenstall
