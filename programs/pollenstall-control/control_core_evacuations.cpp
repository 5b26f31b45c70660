/** @file control_core_evacuations.cpp Evacuations of failure domains on the decision thread. */
#include "control_core_base.h"

#include "program/program.h"

#include <boost/json.hpp>

#include <algorithm>

namespace pollenstall {

namespace {

namespace json = boost::json;

/// How long a sender waits at most. Operators resend earlier.
constexpr std::chrono::seconds AcknowledgementLimit{10};

std::int64_t wholeMillis(mono_duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace

/**
 * A repeat goes through the log, too: its place there decides between operators who send opposite
 * commands at the same time.
 */
void control_core::answerEvacuation(const set_evacuation &Command, const control_request &Request) {
  const auto Refused = propose(Command, [this, Answer = Request.Answer](const auto &Answered) {
    const auto *Recorded = Answered ? std::get_if<evacuation_recorded>(&*Answered) : nullptr;
    if (Recorded == nullptr)
      return Answer->set_value(Answered ? control_outcome(*Answered)
                                        : control_outcome(outcome_unknown{}));
    const mono_time Accepted = boot_clock::now();
    EvacuationWaiters.wait(
        revision(Recorded->Version),
        [this, Answer, Recorded = *Recorded, Accepted](bool Acknowledged) {
          if (!Acknowledged)
            return Answer->set_value(outcome_unknown{});
          const mono_duration Took = boot_clock::now() - Accepted;
          Parts.Metrics->EvacuationAcknowledged.Observe(
              std::chrono::duration<double>(Took).count());
          logEvent(log_level::Info, "evacuation_acknowledged",
                   {{"version", static_cast<std::int64_t>(Recorded.Version)},
                    {"took_ms", wholeMillis(Took)}});
          Answer->set_value(control_answer(Recorded));
        },
        Accepted + AcknowledgementLimit);
  });
  if (Refused)
    Request.Answer->set_value(refusalOf(*Refused));
}

void control_core::answerEvacuations() {
  EvacuationWaiters.answerReady(revision(State.evacuations().version()), Now,
                                [this](revision Version) {
                                  return EntryServer.mayAcknowledgeEvacuation(Version.value(), Now);
                                });
}

void control_core::announceEvacuation(const set_evacuation &Command) {
  EntryServer.evacuationsChanged(Command, boot_clock::now());
  if (!EntryServer.isLeading())
    return;
  // Entries count the servers of a restored domain as cold until a later notice says otherwise.
  if (Command.Undo)
    Directory.expectColdStatements(Command.Domain);
  logEvent(log_level::Warning, Command.Undo ? "domain_restored" : "domain_evacuated",
           {{"domain", Command.Domain.str()},
            {"version", static_cast<std::int64_t>(State.evacuations().version())}});
}

void control_core::handleOperation(const get_evacuations & /*Operation*/,
                                   const control_request &Request) {
  LastRead = LastRead.next();
  Reads.emplace(LastRead,
                waiting_read{[this](const control_state & /*State*/) { return evacuationsText(); },
                             Request.Answer});
  Replica.readIndex(LastRead, boot_clock::now());
}

std::string control_core::evacuationsText() const {
  const std::vector<backend_listing> Listings = State.backends();
  json::array Domains;
  for (const evacuation_record &Record : State.evacuations().records()) {
    const auto Servers = std::count_if(Listings.begin(), Listings.end(), [&](const auto &Listing) {
      return Listing.Domain == Record.Domain;
    });
    Domains.push_back({{"domain", Record.Domain.str()},
                       {"since_unix_ms", Record.Since.count()},
                       {"servers", Servers}});
  }
  const evacuation_progress Progress = EntryServer.evacuationProgress();
  return json::serialize(json::object{{"version", State.evacuations().version()},
                                      {"domains", std::move(Domains)},
                                      {"requests_left", Progress.RequestsLeft},
                                      {"entries", Progress.Entries},
                                      {"entries_unconfirmed", Progress.Unconfirmed}});
}

} // namespace pollenstall
