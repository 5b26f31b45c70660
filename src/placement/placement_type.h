/** @file placement_type.h Loads that entries tell each other, and what placement is tuned by. */
#ifndef POLLENSTALL_PLACEMENT_PLACEMENT_TYPE_H
#define POLLENSTALL_PLACEMENT_PLACEMENT_TYPE_H

#include "core/core.h"
#include "directory/directory_type.h"
#include "scheduling/scheduling_type.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace pollenstall {

/// What entries have under way at one backend server: one of them, or several together.
struct work_load {
  incarnation Incarnation;   ///< Of the backend server.
  std::uint32_t Requests{0}; ///< Started and not ended.
  std::uint32_t Writers{0};  ///< Of these, those that have answered.
  std::uint32_t ReadMs{0};   ///< Reading that is still to be done there, parts of others' included.
  std::uint32_t Tokens{0};   ///< Memory that they take.
  std::uint32_t GapMs{0};    ///< The shortest that their callers allow between two events; 0: any.
  /// Of the entries that read for long there the one that goes first, by precedenceOf(); 0: none.
  std::uint32_t FirstReader{0};

  bool operator==(const work_load &) const = default;
};

/// @return Whether nothing is under way.
bool isEmpty(const work_load &Load);

/// @return What decides between entries that would read on one engine in the same moment: the lower
/// one goes on. Never 0.
inline std::uint32_t precedenceOf(const host_name &Host) {
  return static_cast<std::uint32_t>(stableHash(Host.str())) | 1U;
}

/// @return The work of both at the same backend server.
work_load operator+(work_load A, const work_load &B);

/// @return What is left of it after so long: what is read goes on, the rest stays.
work_load after(work_load Load, mono_duration Passed);

/// How entries tell each other of their work, as far as placement depends on it.
struct exchange_facts {
  std::size_t Entries{1}; ///< That place work, this one included.
  mono_duration Age{0};   ///< From a choice until the others know of it, on the average.
  /// So long an entry holds its choice for a long prompt back after it has told it: two entries
  /// that see an engine become free in the same moment would both read there, and the part that
  /// came first would be done last, seconds late. The way to the farthest entry at least; the
  /// longer it is, the more claims meet and give way again.
  mono_duration ClaimSpan{std::chrono::milliseconds(6)};
};

/// Milliseconds unless said otherwise.
struct placement_tuning {
  /// Part of the longest declared gap that a pass may last with what it reads: the rest is for
  /// delays on the way and for what other entries place in the same moment.
  double GapPart{0.65};
  /// A long gap need leave no more than this: delays on the way do not grow with it.
  double GapMarginMs{90.0};
  /// Part of the time to the target at which the first event is expected at the latest.
  double TargetPart{0.6};
  /// Reading up to this is done by one engine beside others' writing.
  double WholeReadMs{60.0};
  /// Part of an engine's memory that one prompt may take: the rest is for what came a moment
  /// before.
  double MemoryPart{0.94};
  /// Engines beside the first that keep memory of one prompt.
  std::uint32_t MostHolders{3};
  /// A prompt is not cut into shorter parts.
  double PartMs{80.0};
  /// An engine with no more than this to read counts as idle.
  double IdleReadMs{30.0};
  /// Part of the engines, rounded down, that must be left with room for a short prompt where a read
  /// takes each of its engines for longer than LongPartMs. One prompt of 570,000 tokens that took
  /// all idle engines for two seconds made 51 short ones late.
  double RoomPart{0.12};
  /// A short prompt can wait for less than that beside its target of some hundred milliseconds.
  double LongPartMs{500.0};
  /// Part of the target that must be left for work to wait for more idle engines.
  double SlackPart{0.25};
  /// Engines that can begin within this of each other are the same to a stream that broke off.
  double SameStartMs{10.0};
  /// Places of an engine that stay free: two entries may choose it in the same moment.
  std::uint32_t SparePlaces{2};
  /// Engines, first in the common order, among which short work is spread at random at the least:
  /// few, so that the others stay free for long reads.
  std::size_t PackedChoices{2};
  /// And so many for each request that all entries place before they know of each other's: entries
  /// that choose among fewer meet on one engine, whose streams then all pause. With two choices for
  /// 195 entries 46 in 100 short prompts began within 20 ms of another one at the same engine.
  double ChoicesPerUnknown{2.0};
  /// Over which the rate of requests is averaged.
  mono_duration RateSpan{std::chrono::seconds(2)};
  std::uint32_t MostReaders{17}; ///< Of one prompt, the first one included.
  mono_duration PollInterval{std::chrono::milliseconds(10)};  ///< While work waits.
  mono_duration PeerSilence{std::chrono::seconds(1)};         ///< A peer's loads count no longer.
  mono_duration FailurePause{std::chrono::milliseconds(500)}; ///< After a failure; doubles.
  mono_duration LongestPause{std::chrono::seconds(8)};
  /// After a pause one request tries a server, and no other for so long unless it answers. A server
  /// that is dark seems free of work: all that came in the time until the next failure was seen
  /// (0.3 s to connect, 1.2 s without an answer) was lost to it, again after each pause.
  mono_duration TrialSpan{std::chrono::milliseconds(1500)};
  /// Part of the time limit after which work that waits is refused, so that its caller can come
  /// back.
  double WaitPart{0.3};
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_PLACEMENT_TYPE_H
