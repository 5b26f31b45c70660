/** @file entry_policy.cpp Adapters of the placer and of two baseline balancers to model_policy. */
#include "fleet_model/entry_policy_func.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>

namespace pollenstall {

namespace {

fleet_declaration declarationOf(const model_load &Load) {
  fleet_declaration Declared;
  service_declaration Service;
  Service.Name = modelService();
  Service.Engine = Load.Engine;
  Declared.Services.push_back(Service);
  for (const request_kind &Kind : Load.Kinds) {
    call_route Route;
    Route.Name = Kind.Name;
    Route.RetryMode = retry_mode::Resume;
    Route.Target = std::chrono::milliseconds(static_cast<std::int64_t>(Kind.TargetMs));
    Route.LongestGap = std::chrono::milliseconds(static_cast<std::int64_t>(Kind.GapMs));
    Route.Services = {{modelService(), 1}};
    Declared.Routes.push_back(Route);
  }
  return Declared;
}

host_name entryName(std::size_t Entry) { return host_name("entry-" + std::to_string(Entry)); }

model_policy makePlacement(const model_load &Load, std::size_t Entry, std::uint64_t Seed) {
  const auto Placer = std::make_shared<placer>(entryName(Entry), Seed, Load.Tuning);
  Placer->applyDeclaration(declarationOf(Load));
  model_policy Policy;
  Policy.Submit = [Placer](const work_item &Item, mono_time Now) {
    return Placer->submit(Item, Now);
  };
  Policy.Withdraw = [Placer](request_number Request) { Placer->withdraw(Request); };
  Policy.Poll = [Placer](mono_time Now) { return Placer->poll(Now); };
  Policy.NextWake = [Placer] { return Placer->nextWake(); };
  Policy.UpdateBackend = [Placer](const backend_listing &Listing) {
    if (Listing.State == listing_state::Gone)
      Placer->removeBackend(Listing.Key);
    else
      Placer->updateBackend(Listing);
  };
  Policy.AttemptStarted = [Placer](const attempt_id &Attempt, const work_item &Item,
                                   const backend_key &Backend, mono_time Now) {
    Placer->attemptStarted(Attempt, Item, Backend, Now);
  };
  Policy.AttemptAnswering = [Placer](const attempt_id &Attempt, mono_time Now) {
    Placer->attemptAnswering(Attempt, Now);
  };
  Policy.AttemptAdvanced = [Placer](const attempt_id &Attempt, std::uint64_t Events,
                                    mono_time Now) {
    Placer->attemptAdvanced(Attempt, Events, Now);
  };
  Policy.AttemptEnded = [Placer](const attempt_id &Attempt, const attempt_report &Report,
                                 mono_time Now) { Placer->attemptEnded(Attempt, Report, Now); };
  Policy.OwnLoads = [Placer](mono_time Now) { return Placer->ownLoads(Now); };
  Policy.OwnWaiting = [Placer](mono_time Now) { return Placer->ownWaiting(Now); };
  Policy.UpdatePeers = [Placer](const peer_work_update &Update, mono_time Now) {
    Placer->updateExchange(Update.ExchangeStats);
    Placer->updateOthersLoads(Update.ChangedLoads, Now);
    if (Update.Waiting)
      Placer->updateOthersWaiting(*Update.Waiting, Now);
  };
  Policy.ClaimsMade = [Placer] { return Placer->claimsMade(); };
  return Policy;
}

enum class balancer_kind : std::uint8_t { LeastOutstanding, PowerOfTwo };

/// Places each request at once, by the number of requests per engine only.
class request_count_balancer {
public:
  request_count_balancer(balancer_kind BalancerKind, std::uint64_t Seed)
      : Kind(BalancerKind), Random(Seed) {}

  void update(const backend_listing &Listing) {
    if (Listing.State == listing_state::Gone)
      Counts.erase(Listing.Key);
    else
      Counts.try_emplace(Listing.Key);
  }
  void submit(const work_item &Item) { Pending.push_back(Item); }
  poll_outcome poll() {
    poll_outcome Outcome;
    for (const work_item &Item : std::exchange(Pending, {}))
      if (const auto Chosen = choose())
        Outcome.Placements.push_back({Item.Request, *Chosen});
    return Outcome;
  }
  void recordStart(const attempt_id &Attempt, const backend_key &Backend) {
    Attempts[Attempt] = Backend;
    if (const auto Found = Counts.find(Backend); Found != Counts.end())
      ++Found->second.OwnRequests;
  }
  void recordEnd(const attempt_id &Attempt) {
    const auto Found = Attempts.find(Attempt);
    if (Found == Attempts.end())
      return;
    if (const auto Count = Counts.find(Found->second); Count != Counts.end())
      --Count->second.OwnRequests;
    Attempts.erase(Found);
  }
  [[nodiscard]] std::vector<work_load> loads() const {
    std::vector<work_load> Loads;
    for (const auto &[Key, Count] : Counts)
      if (Count.OwnRequests > 0)
        Loads.push_back({Key.Incarnation, Count.OwnRequests, 0, 0, 0, 0, 0});
    return Loads;
  }
  void updateOthersLoads(const std::vector<work_load> &Loads) {
    for (auto &[Key, Count] : Counts)
      for (const work_load &Load : Loads)
        if (Load.Incarnation == Key.Incarnation)
          Count.PeerRequests = Load.Requests;
  }

private:
  struct request_count {
    std::uint32_t OwnRequests{0};
    std::uint32_t PeerRequests{0};

    [[nodiscard]] std::uint32_t total() const { return OwnRequests + PeerRequests; }
  };

  std::optional<backend_key> choose() {
    if (Counts.empty())
      return std::nullopt;
    const auto Draw = [this] {
      return std::next(Counts.begin(), static_cast<std::ptrdiff_t>(Random.below(Counts.size())));
    };
    if (Kind == balancer_kind::PowerOfTwo) {
      const auto First = Draw();
      const auto Second = Draw();
      return First->second.total() <= Second->second.total() ? First->first : Second->first;
    }
    std::vector<backend_key> Candidates;
    std::uint32_t MinRequests = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[Key, Count] : Counts) {
      if (Count.total() < MinRequests)
        Candidates.clear();
      MinRequests = std::min(MinRequests, Count.total());
      if (Count.total() == MinRequests)
        Candidates.push_back(Key);
    }
    return Candidates[Random.below(Candidates.size())];
  }

  balancer_kind Kind;
  random_source Random;
  std::map<backend_key, request_count> Counts;
  std::map<attempt_id, backend_key> Attempts;
  std::vector<work_item> Pending;
};

model_policy_maker makeBalancer(balancer_kind Kind) {
  return [Kind](const model_load &, std::size_t, std::uint64_t Seed) {
    const auto Balancer = std::make_shared<request_count_balancer>(Kind, Seed);
    model_policy Policy;
    Policy.Submit = [Balancer](const work_item &Item, mono_time) {
      Balancer->submit(Item);
      return std::variant<done, work_refusal>(done{});
    };
    Policy.Withdraw = [](request_number) {};
    Policy.Poll = [Balancer](mono_time) { return Balancer->poll(); };
    Policy.NextWake = [] { return std::optional<mono_time>(); };
    Policy.UpdateBackend = [Balancer](const backend_listing &Listing) {
      Balancer->update(Listing);
    };
    Policy.AttemptStarted = [Balancer](const attempt_id &Attempt, const work_item &,
                                       const backend_key &Backend,
                                       mono_time) { Balancer->recordStart(Attempt, Backend); };
    Policy.AttemptAnswering = [](const attempt_id &, mono_time) {};
    Policy.AttemptAdvanced = [](const attempt_id &, std::uint64_t, mono_time) {};
    Policy.AttemptEnded = [Balancer](const attempt_id &Attempt, const attempt_report &, mono_time) {
      Balancer->recordEnd(Attempt);
    };
    Policy.OwnLoads = [Balancer](mono_time) { return Balancer->loads(); };
    Policy.OwnWaiting = [](mono_time) { return std::vector<waiting_load>(); };
    Policy.UpdatePeers = [Balancer](const peer_work_update &Update, mono_time) {
      Balancer->updateOthersLoads(Update.ChangedLoads);
    };
    Policy.ClaimsMade = [] { return std::uint64_t{0}; };
    return Policy;
  };
}

} // namespace

service_name modelService() { return service_name("model"); }

named_model_policy placementPolicy() { return {"placement", makePlacement}; }

std::vector<named_model_policy> baselineModelPolicies() {
  return {{"least_outstanding", makeBalancer(balancer_kind::LeastOutstanding)},
          {"power_of_two", makeBalancer(balancer_kind::PowerOfTwo)}};
}

} // namespace pollenstall
