/** @file entry_report.cpp Logs ended calls and dumps the state of an entry. */
#include "entry_base.h"

#include <boost/asio/post.hpp>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds DumpLimit{2'000};

void logCall(const call_record &Record) {
  const std::optional<answer_progress> &Answer = Record.LastAnswer;
  const bool IsComplete = Record.Outcome == final_outcome::Complete;
  logEvent(IsComplete ? log_level::Info : log_level::Warning, "request_ended",
           {{"request", Record.RequestId},
            {"send", Record.SendName},
            {"attempt", Record.Attempt},
            {"account", Record.Account},
            {"service", Record.Service},
            {"backend", Record.Backend},
            {"peer", Record.Peer},
            {"connect_ms", Record.ConnectTook ? Record.ConnectTook->count() : -1},
            {"outcome", std::string(outcomeText(Record.Outcome))},
            {"reason", Record.Reason},
            {"field", Record.Field},
            {"prompt_tokens", Record.Prompt.value()},
            {"ms", Record.Took.count()},
            {"sent_ms", Record.SentAfter ? Record.SentAfter->count() : -1},
            {"first_byte_ms", Record.FirstByteAfter ? Record.FirstByteAfter->count() : -1},
            {"longest_gap_ms", Record.LongestGap ? Record.LongestGap->count() : -1},
            {"framing", std::string(Answer ? bodyFramingText(Answer->Framing) : "")},
            {"connection", std::string(Answer ? connectionEndText(Answer->Connection) : "")},
            {"events", static_cast<std::int64_t>(Answer ? Answer->Events : 0)},
            {"unfinished_bytes", static_cast<std::int64_t>(Answer ? Answer->UnfinishedBytes : 0)},
            {"unsent_bytes", static_cast<std::int64_t>(Answer ? Answer->UnsentBytes : 0)}});
}

} // namespace

void entry::logBrokenAnswer(const broken_answer &Broken) {
  logEvent(log_level::Warning, "answer_broken_off",
           {{"attempt", toText(Broken.Attempt)},
            {"backend", toText(Broken.Backend)},
            {"reason", std::string(answerEndReasonText(Broken.Reason))},
            {"framing", std::string(bodyFramingText(Broken.Progress.Framing))},
            {"connection", std::string(connectionEndText(Broken.Progress.Connection))},
            {"events", static_cast<std::int64_t>(Broken.Progress.Events)},
            {"unfinished_bytes", static_cast<std::int64_t>(Broken.Progress.UnfinishedBytes)},
            {"unsent_bytes", static_cast<std::int64_t>(Broken.Progress.UnsentBytes)},
            {"last_event", static_cast<std::int64_t>(Broken.LastEvent)},
            {"caller_has_part", Broken.CallerHasPart}});
}

void entry::logHolds(const hold_record &Record) {
  logEvent(log_level::Info, "memory_holds_ended",
           {{"attempt", toText(Record.Attempt)},
            {"backend", toText(Record.Backend)},
            {"reason", std::string(holdEndText(Record.End))},
            {"holders", static_cast<std::int64_t>(Record.Holders)},
            {"tokens", Record.Amount.value()},
            {"held_ms", Record.HeldFor.count()},
            {"used_after_ms", Record.UsedAfter ? Record.UsedAfter->count() : -1},
            {"unused_ms", Record.UnusedFor.count()},
            {"renewals", static_cast<std::int64_t>(Record.Renewals)},
            {"questions", static_cast<std::int64_t>(Record.Questions)}});
}

void entry::logPathChange(const path_change &Change) {
  const bool IsDirect = Change.Peer.empty();
  logEvent(IsDirect ? log_level::Info : log_level::Warning, "path_changed",
           {{"backend", toText(Change.Server)},
            {"path", std::string(IsDirect ? "direct" : "peer")},
            {"peer", Change.Peer}});
}

void entry::logConnectFailure(const connect_failure &Failure) {
  logEvent(log_level::Info, "connect_failed",
           {{"backend", toText(Failure.Server)},
            {"peers", static_cast<std::int64_t>(Failure.PeersAsked)},
            {"own_domain", static_cast<std::int64_t>(Failure.OfOwnDomain)},
            {"silent", static_cast<std::int64_t>(Failure.Silent)},
            {"down", static_cast<std::int64_t>(Failure.Down)},
            {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(Failure.Took).count()}});
}

void entry::logListening(const char *Purpose, const std::string &Address) {
  logEvent(log_level::Info, "listening", {{"what", std::string(Purpose)}, {"address", Address}});
}

void entry::handleCallEnd(const call_record &Record) {
  const bool Admitted = !Record.RequestId.empty();
  if (Admitted && Record.Reason == reasonText(failure_reason::ShuttingDown))
    ShutdownEndedCall = true;
  logCall(Record);
}

std::optional<std::string> entry::dumpRelay(std::chrono::milliseconds Limit) {
  auto Answer = std::make_shared<std::promise<std::string>>();
  std::future<std::string> Future = Answer->get_future();
  asio::post(Io, [this, Answer] { Answer->set_value(Relay->dump()); });
  if (Future.wait_for(Limit) != std::future_status::ready)
    return std::nullopt;
  return Future.get();
}

std::string entry::dump() {
  // A thread that does not answer is shown as such: it may be the fault that the operator looks
  // for.
  const std::string NoAnswer = R"("no answer")";
  const std::string Membership = Gossip ? Gossip->dump() : std::string("null");
  return R"({"process":{"host":")" + Self.Host.str() + R"(","incarnation":)" +
         std::to_string(Self.Incarnation.value()) + R"(},"relay":)" +
         dumpRelay(DumpLimit).value_or(NoAnswer) + R"(,"decisions":)" +
         Decision->dump(DumpLimit).value_or(NoAnswer) + R"(,"membership":)" +
         (Membership.empty() ? NoAnswer : Membership) + "}";
}

} // namespace pollenstall
