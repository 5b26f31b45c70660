/** @file placement_type.h Loads that entries exchange, and the parameters of placement. */
#ifndef POLLENSTALL_PLACEMENT_PLACEMENT_TYPE_H
#define POLLENSTALL_PLACEMENT_PLACEMENT_TYPE_H

#include "core/core.h"
#include "directory/directory_type.h"
#include "scheduling/scheduling_type.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace pollenstall {

/// Work in flight of one or several entries on one backend server.
struct work_load {
  incarnation Incarnation;           ///< Incarnation of the backend server.
  std::uint32_t Requests{0};         ///< Requests started and not ended.
  std::uint32_t DecodingRequests{0}; ///< Requests that have begun to answer.
  std::uint32_t PrefillMs{0}; ///< Pending prefill, including parts of prompts answered elsewhere.
  std::uint32_t Tokens{0};    ///< Allocated memory.
  std::uint32_t GapMs{0}; ///< Lowest of the callers' maximum times between events; 0: unlimited.
  /// Lowest claimRankOf() of the entries with a long prefill on this server; 0: none.
  std::uint32_t LowestClaimRank{0};

  bool operator==(const work_load &) const = default;
};

/// A server that is slower than expected or fails more attempts than the others of its service.
struct uneven_server {
  backend_key Backend;
  double Slowness{1};    ///< At any fill; 1: normal.
  double FailedShare{0}; ///< Of the recent attempts of this entry.
  bool Failing{false};   ///< The share is well above that of the others.
};

/// Returns whether the load contains no work.
bool isEmpty(const work_load &Load);

/// Returns the claim rank of an entry, never 0. If two entries claim one engine at the same time,
/// the one with the lower value keeps its claim.
inline std::uint32_t claimRankOf(const host_name &Host) {
  return static_cast<std::uint32_t>(stableHash(Host.str())) | 1U;
}

/// Returns the sum of two loads of the same backend server.
work_load operator+(work_load A, const work_load &B);

/// Returns the load after some time in which the engine continued its prefill.
work_load loadAfter(work_load Load, mono_duration Elapsed);

/// Properties of the load exchange between entries that placement depends on.
struct load_exchange_properties {
  std::size_t Entries{1};            ///< Number of entries that place work, including this one.
  mono_duration PropagationDelay{0}; ///< Average time until other entries know of a placement.
  /// Time between publishing a claim for a long prompt and acting on it. Two entries that see an
  /// engine become free at the same time would both place a prefill there, and the part that came
  /// first would be finished last, seconds late, because an engine processes a new part before
  /// waiting ones. It must be at least the delay to the farthest entry; with a longer delay, more
  /// claims conflict and are withdrawn.
  mono_duration ClaimDelay{std::chrono::milliseconds(6)};
};

/// Placement parameters. Numbers are in milliseconds unless noted.
struct placement_tuning {
  /// Part of the lowest maximum gap of its streams that a pass with its prefill may take. The rest
  /// covers network delays and work that other entries place at the same time.
  double GapFraction{0.65};
  /// Maximum time of a gap that is kept free for network delays, because these do not grow with the
  /// gap.
  double GapMarginMs{90.0};
  /// Part of the time remaining to the target within which the first event must be expected.
  double TargetFraction{0.6};
  /// Prefill up to this duration runs on a single engine, alongside its decoding requests.
  double MaxSinglePrefillMs{60.0};
  /// Part of an engine's memory that one prompt may use. The rest covers work that was placed just
  /// before.
  double MemoryFraction{0.94};
  /// Maximum number of engines, besides the first, that hold memory for one prompt.
  std::uint32_t MaxHolders{3};
  /// Minimum duration of a prefill part when a prompt is split.
  double MinPartMs{80.0};
  /// An engine with at most this much pending prefill counts as idle.
  double IdlePrefillMs{30.0};
  /// Part of the engines, rounded down, that must keep headroom for a short prompt if a prefill
  /// occupies each of its engines for longer than LongPartMs. One prompt of 570,000 tokens that
  /// occupied all idle engines for two seconds made 51 short ones late.
  double HeadroomFraction{0.12};
  /// Prefill per engine above which HeadroomFraction applies. A short prompt, with a target of some
  /// hundred milliseconds, cannot wait that long.
  double LongPartMs{500.0};
  /// Work waits for more idle engines only while its first event, if it were placed now, would
  /// precede its target by more than this part of the target.
  double SlackFraction{0.25};
  /// For a resumed stream, engines whose start times differ by at most this are equivalent.
  double StartToleranceMs{10.0};
  /// Slots of an engine that stay free, because two entries may choose it at the same time; not
  /// used with OrderOverEntries.
  std::uint32_t SpareSlots{2};
  /// Part of its target after which waiting work takes the spare slots, too.
  double SpareWaitFraction{0.1};
  /// Whether scarce slots are taken in one order of the waiting requests of all entries. Otherwise
  /// each entry orders its own.
  bool OrderOverEntries{false};
  /// Part of the time remaining to the target within which the first event must be expected while
  /// slots are scarce. The rest covers network delays.
  double ScarceTargetFraction{0.5};
  /// Whether late work is refused at once if its caller would leave before it could start. In
  /// examples/contended.load.toml this did not raise the value, so that it is off.
  bool RefuseHopeless{false};
  /// Part of the scarce slots that late work gets although work in time waits.
  double LateShare{0.05};
  /// Minimum number of engines, from the start of the order that all entries share, among which
  /// short work is spread at random. It is low so that the other engines stay free for long
  /// prefill.
  std::size_t MinPackedChoices{2};
  /// Number of engines to choose among for each unseen request: one that an entry places before the
  /// others know of it. With fewer, entries choose the same engine, and all its streams pause. With
  /// two choices for 195 entries, 46 in 100 short prompts began within 20 ms of another one on the
  /// same engine.
  double ChoicesPerUnseenRequest{2.0};
  /// Averaging window of the request rate.
  mono_duration RateWindow{std::chrono::seconds(2)};
  std::uint32_t MaxPrefillEngines{17}; ///< Maximum for one prompt, including the first engine.
  mono_duration PollInterval{std::chrono::milliseconds(10)}; ///< While work waits.
  mono_duration PeerLoadTimeout{std::chrono::seconds(1)};    ///< Older loads of peers are ignored.
  /// Backoff after the first failure; doubles with each further one.
  mono_duration FailureBackoff{std::chrono::milliseconds(500)};
  mono_duration MaxBackoff{std::chrono::seconds(8)};
  /// After a backoff, a server receives one trial request, and no other request for this time
  /// unless the trial is answered. An unreachable server appears idle: without the limit, all
  /// requests until the next detected failure (0.3 s to connect, 1.2 s without an answer) went
  /// there and were lost, again after each backoff.
  mono_duration TrialTimeout{std::chrono::milliseconds(1500)};
  /// A server that fails an attempt gets no work for this time, times the cube of the odds that it
  /// fails; see server_record. In a model of one server with 50 requests a second, one that fails
  /// 0.4 of its attempts gets 0.92 of a sound one's requests (1 in 100 runs: below 0.65), and one
  /// that fails all gets a probe every 2 s. With 200 ms, 1 in 100 runs was below 0.1.
  mono_duration FailureRest{std::chrono::milliseconds(60)};
  mono_duration MaxFailureRest{std::chrono::seconds(8)};
  /// Time after which a recorded attempt counts half.
  mono_duration RecordHalfLife{std::chrono::seconds(4)};
  /// How long a server of a service that declares cold_per_s counts as cold if it is listed for the
  /// first time by a leader that has no notice of it yet. Its notices follow within this time.
  mono_duration UnknownColdTime{std::chrono::milliseconds(3000)};
  /// Part of the time limit after which waiting work is refused, so that its caller can retry.
  double WaitFraction{0.3};
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_PLACEMENT_TYPE_H
