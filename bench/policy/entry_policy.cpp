/** @file entry_policy.cpp The project's scheduler and the baselines behind the same hooks. */
#include "entry_policy_type.h"

#include <algorithm>
#include <limits>
#include <memory>

namespace pollenstall::bench {
namespace {

enum class baseline_kind : std::uint8_t { Random, RoundRobin, LeastOutstanding, PowerOfTwo };

/// Own attempts begun within this time before a report came are added to it.
constexpr mono_duration ReportLag = std::chrono::milliseconds(300);

/// Routes each request at once by the count of requests, as a plain balancer does.
class baseline {
public:
  baseline(baseline_kind Given, std::uint64_t Seed, std::size_t Offset)
      : Kind(Given), Random(Seed), Next(Offset) {}

  std::variant<done, work_refusal> submit(const work_item &Item) {
    const bool Fits = std::any_of(Views.begin(), Views.end(), [&Item](const auto &Entry) {
      const backend_announcement &Server = Entry.second.View.Announcement;
      return Item.Prompt + Item.AnswerLimit <=
             tokens(Server.Memory.value() * Server.BlockTokens.value());
    });
    if (!Fits)
      return work_refusal{failure_reason::TooLargeForFleet, std::nullopt};
    Pending.push_back(Item);
    return done{};
  }

  poll_outcome poll(mono_time Now) {
    poll_outcome Outcome;
    for (const work_item &Item : Pending) {
      const std::optional<backend_key> Choice = choose(Item, Now);
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
    double Fresh = 0;
    for (const auto &[Attempt, Started] : Server.Starts)
      if (Started + ReportLag > Server.View.LoadReceivedAt)
        ++Fresh;
    return Fresh + Server.View.Load.Running + Server.View.Load.Waiting;
  }

  std::optional<backend_key> choose(const work_item &Item, mono_time Now) {
    std::vector<const server *> Open;
    for (const auto &[Key, Server] : Views)
      if (Server.View.Status == backend_status::Active &&
          std::find(Item.Avoid.begin(), Item.Avoid.end(), Key) == Item.Avoid.end())
        Open.push_back(&Server);
    if (Open.empty())
      return std::nullopt;
    return pick(Open, Now)->View.Announcement.Key;
  }

  const server *pick(const std::vector<const server *> &Open, mono_time Now) {
    const auto Draw = [&] { return Open[Random.below(Open.size())]; };
    switch (Kind) {
    case baseline_kind::Random:
      return Draw();
    case baseline_kind::RoundRobin:
      return Open[Next++ % Open.size()];
    case baseline_kind::PowerOfTwo: {
      const server *A = Draw();
      const server *B = Draw();
      return outstanding(*A, Now) <= outstanding(*B, Now) ? A : B;
    }
    case baseline_kind::LeastOutstanding:
      break;
    }
    double Least = std::numeric_limits<double>::max();
    std::vector<const server *> Best;
    for (const server *Server : Open) {
      const double Count = outstanding(*Server, Now);
      if (Count < Least) {
        Least = Count;
        Best.clear();
      }
      if (Count <= Least)
        Best.push_back(Server);
    }
    return Best[Random.below(Best.size())];
  }

  baseline_kind Kind;
  random_source Random;
  std::size_t Next;
  std::map<backend_key, server> Views;
  std::map<attempt_id, backend_key> Attempts;
  std::vector<work_item> Pending;
};

policy_maker makerOf(baseline_kind Kind) {
  return [Kind](const run_settings &Run, std::size_t Entry) {
    const auto State = std::make_shared<baseline>(Kind, combineHashes(Run.Seed, Entry + 1), Entry);
    entry_policy Policy;
    Policy.Submit = [State](const work_item &Item, mono_time) { return State->submit(Item); };
    Policy.Poll = [State](mono_time Now) { return State->poll(Now); };
    Policy.NextWake = [] { return std::optional<mono_time>(); };
    Policy.View = [State](const backend_view &View, mono_time) { State->view(View); };
    Policy.Withdraw = [](request_number) {};
    Policy.Started = [State](const attempt_id &Attempt, const work_item &,
                             const backend_key &Backend,
                             mono_time Now) { State->started(Attempt, Backend, Now); };
    Policy.Answering = [](const attempt_id &, mono_time) {};
    Policy.Advanced = [](const attempt_id &, std::uint64_t, mono_time) {};
    Policy.Ended = [State](const attempt_id &Attempt, const attempt_report &, mono_time) {
      State->ended(Attempt);
    };
    return Policy;
  };
}

entry_policy makeOwn(const run_settings &Run, std::size_t Entry) {
  const auto Own =
      std::make_shared<scheduler>(scheduler_builder()
                                      .seed(combineHashes(Run.Seed, Entry + 1))
                                      .host(host_name("entry-" + std::to_string(Entry)))
                                      .build());
  Own->applyDeclaration(makeDeclaration(Run));
  entry_policy Policy;
  Policy.Submit = [Own](const work_item &Item, mono_time Now) { return Own->submit(Item, Now); };
  Policy.Poll = [Own](mono_time Now) { return Own->poll(Now); };
  Policy.NextWake = [Own] { return Own->nextWake(); };
  Policy.View = [Own](const backend_view &View, mono_time Now) { Own->updateBackend(View, Now); };
  Policy.Withdraw = [Own](request_number Request) { Own->withdraw(Request); };
  Policy.Started = [Own](const attempt_id &Attempt, const work_item &Item,
                         const backend_key &Backend,
                         mono_time Now) { Own->attemptStarted(Attempt, Item, Backend, Now); };
  Policy.Answering = [Own](const attempt_id &Attempt, mono_time Now) {
    Own->attemptAnswering(Attempt, Now);
  };
  Policy.Advanced = [Own](const attempt_id &Attempt, std::uint64_t Events, mono_time Now) {
    Own->attemptProgressed(Attempt, Events, Now);
  };
  Policy.Ended = [Own](const attempt_id &Attempt, const attempt_report &End, mono_time Now) {
    Own->attemptEnded(Attempt, End, Now);
  };
  return Policy;
}

} // namespace

named_policy ownPolicy() { return {"pollenstall", makeOwn}; }

std::vector<named_policy> baselinePolicies() {
  return {{"random", makerOf(baseline_kind::Random)},
          {"round_robin", makerOf(baseline_kind::RoundRobin)},
          {"least_outstanding", makerOf(baseline_kind::LeastOutstanding)},
          {"power_of_two", makerOf(baseline_kind::PowerOfTwo)}};
}

} // namespace pollenstall::bench
