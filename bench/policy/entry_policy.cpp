/** @file entry_policy.cpp Implements the routing policies of pollenstall's scheduler and of the
 * baselines. */
#include "entry_policy_type.h"

#include <algorithm>
#include <limits>
#include <memory>

namespace pollenstall::bench {
namespace {

enum class baseline_kind : std::uint8_t { Random, RoundRobin, LeastOutstanding, PowerOfTwo };

/// Attempts that the entry started less than this time before it received a report are added to the
/// reported load.
constexpr mono_duration LoadReportLag = std::chrono::milliseconds(300);

/// Routes each request immediately by the request counts of the servers, as a plain load balancer
/// does.
class baseline {
public:
  baseline(baseline_kind BaselineKind, std::uint64_t Seed, std::size_t Offset)
      : Kind(BaselineKind), Random(Seed), NextServer(Offset) {}

  std::variant<done, work_refusal> submit(const work_item &Item) {
    const bool FitsAnyServer = std::any_of(Views.begin(), Views.end(), [&Item](const auto &Entry) {
      const backend_announcement &Server = Entry.second.View.Announcement;
      return Item.Prompt + Item.AnswerLimit <=
             tokens(Server.Memory.value() * Server.BlockTokens.value());
    });
    if (!FitsAnyServer)
      return work_refusal{failure_reason::TooLargeForFleet, std::nullopt};
    Pending.push_back(Item);
    return done{};
  }

  poll_outcome poll(mono_time Now) {
    poll_outcome Outcome;
    for (const work_item &Item : Pending) {
      const std::optional<backend_key> Choice = chooseBackend(Item, Now);
      if (Choice)
        Outcome.Placements.push_back({Item.Request, *Choice, 0, {}});
      else
        Outcome.Expiries.push_back({Item.Request, {failure_reason::NoBackend, std::nullopt}});
    }
    Pending.clear();
    return Outcome;
  }

  void view(const backend_view &View) { Views[View.Announcement.Key].View = View; }

  void started(const attempt_id &Attempt, const backend_key &Backend, mono_time Now) {
    Attempts[Attempt] = Backend;
    Views[Backend].Starts[Attempt] = Now;
  }

  void ended(const attempt_id &Attempt) {
    const auto Found = Attempts.find(Attempt);
    if (Found == Attempts.end())
      return;
    Views[Found->second].Starts.erase(Attempt);
    Attempts.erase(Found);
  }

private:
  struct server {
    backend_view View;
    std::map<attempt_id, mono_time> Starts;
  };

  static double outstanding(const server &Server, mono_time) {
    double UnreportedStarts = 0;
    for (const auto &[Attempt, Started] : Server.Starts)
      if (Started + LoadReportLag > Server.View.LoadReportedAt)
        ++UnreportedStarts;
    return UnreportedStarts + Server.View.Load.Running + Server.View.Load.Waiting;
  }

  std::optional<backend_key> chooseBackend(const work_item &Item, mono_time Now) {
    std::vector<const server *> Candidates;
    for (const auto &[Key, Server] : Views)
      if (Server.View.Status == backend_status::Active &&
          std::find(Item.Avoid.begin(), Item.Avoid.end(), Key) == Item.Avoid.end())
        Candidates.push_back(&Server);
    if (Candidates.empty())
      return std::nullopt;
    return pickServer(Candidates, Now)->View.Announcement.Key;
  }

  const server *pickServer(const std::vector<const server *> &Candidates, mono_time Now) {
    const auto DrawCandidate = [&] { return Candidates[Random.below(Candidates.size())]; };
    switch (Kind) {
    case baseline_kind::Random:
      return DrawCandidate();
    case baseline_kind::RoundRobin:
      return Candidates[NextServer++ % Candidates.size()];
    case baseline_kind::PowerOfTwo: {
      const server *First = DrawCandidate();
      const server *Second = DrawCandidate();
      return outstanding(*First, Now) <= outstanding(*Second, Now) ? First : Second;
    }
    case baseline_kind::LeastOutstanding:
      break;
    }
    double LowestCount = std::numeric_limits<double>::max();
    std::vector<const server *> LeastLoaded;
    for (const server *Server : Candidates) {
      const double Count = outstanding(*Server, Now);
      if (Count < LowestCount) {
        LowestCount = Count;
        LeastLoaded.clear();
      }
      if (Count <= LowestCount)
        LeastLoaded.push_back(Server);
    }
    return LeastLoaded[Random.below(LeastLoaded.size())];
  }

  baseline_kind Kind;
  random_source Random;
  std::size_t NextServer;
  std::map<backend_key, server> Views;
  std::map<attempt_id, backend_key> Attempts;
  std::vector<work_item> Pending;
};

policy_maker baselineMaker(baseline_kind Kind) {
  return [Kind](const run_settings &Run, std::size_t Entry) {
    const auto State = std::make_shared<baseline>(Kind, combineHashes(Run.Seed, Entry + 1), Entry);
    entry_policy Policy;
    Policy.Submit = [State](const work_item &Item, mono_time) { return State->submit(Item); };
    Policy.Poll = [State](mono_time Now) { return State->poll(Now); };
    Policy.NextWake = [] { return std::optional<mono_time>(); };
    Policy.UpdateBackend = [State](const backend_view &View, mono_time) { State->view(View); };
    Policy.Withdraw = [](request_number) {};
    Policy.Started = [State](const attempt_id &Attempt, const work_item &,
                             const backend_key &Backend,
                             mono_time Now) { State->started(Attempt, Backend, Now); };
    Policy.AnswerStarted = [](const attempt_id &, mono_time) {};
    Policy.Progressed = [](const attempt_id &, std::uint64_t, mono_time) {};
    Policy.Ended = [State](const attempt_id &Attempt, const attempt_report &, mono_time) {
      State->ended(Attempt);
    };
    return Policy;
  };
}

entry_policy makeSchedulerPolicy(const run_settings &Run, std::size_t Entry) {
  const auto Scheduler =
      std::make_shared<scheduler>(scheduler_builder()
                                      .seed(combineHashes(Run.Seed, Entry + 1))
                                      .host(host_name("entry-" + std::to_string(Entry)))
                                      .build());
  Scheduler->applyDeclaration(makeDeclaration(Run));
  entry_policy Policy;
  Policy.Submit = [Scheduler](const work_item &Item, mono_time Now) {
    return Scheduler->submit(Item, Now);
  };
  Policy.Poll = [Scheduler](mono_time Now) { return Scheduler->poll(Now); };
  Policy.NextWake = [Scheduler] { return Scheduler->nextWake(); };
  Policy.UpdateBackend = [Scheduler](const backend_view &View, mono_time Now) {
    Scheduler->updateBackend(View, Now);
  };
  Policy.Withdraw = [Scheduler](request_number Request) { Scheduler->withdraw(Request); };
  Policy.Started = [Scheduler](const attempt_id &Attempt, const work_item &Item,
                               const backend_key &Backend, mono_time Now) {
    Scheduler->attemptStarted(Attempt, Item, Backend, Now);
  };
  Policy.AnswerStarted = [Scheduler](const attempt_id &Attempt, mono_time Now) {
    Scheduler->attemptAnswering(Attempt, Now);
  };
  Policy.Progressed = [Scheduler](const attempt_id &Attempt, std::uint64_t Events, mono_time Now) {
    Scheduler->attemptProgressed(Attempt, Events, Now);
  };
  Policy.Ended = [Scheduler](const attempt_id &Attempt, const attempt_report &End, mono_time Now) {
    Scheduler->attemptEnded(Attempt, End, Now);
  };
  return Policy;
}

} // namespace

routing_policy schedulerPolicy() { return {"pollenstall", makeSchedulerPolicy}; }

std::vector<routing_policy> baselinePolicies() {
  return {{"random", baselineMaker(baseline_kind::Random)},
          {"round_robin", baselineMaker(baseline_kind::RoundRobin)},
          {"least_outstanding", baselineMaker(baseline_kind::LeastOutstanding)},
          {"power_of_two", baselineMaker(baseline_kind::PowerOfTwo)}};
}

} // namespace pollenstall::bench
