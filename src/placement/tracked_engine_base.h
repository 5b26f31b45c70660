/** @file tracked_engine_base.h An entry's view of the work on one backend server. */
#ifndef POLLENSTALL_PLACEMENT_TRACKED_ENGINE_BASE_H
#define POLLENSTALL_PLACEMENT_TRACKED_ENGINE_BASE_H

#include "declaration/declaration_type.h"
#include "directory/directory_type.h"
#include "placement/placement_type.h"
#include "placement/server_record_base.h"
#include "placement/server_speed_base.h"

#include <algorithm>

namespace pollenstall {

/// Sum of the work in flight on one backend server.
struct engine_view {
  std::uint32_t Requests{0};
  std::uint32_t DecodingRequests{0};
  double PrefillMs{0}; ///< Pending prefill.
  double Tokens{0};    ///< Allocated memory.
  double GapMs{0};     ///< Lowest of the requests' maximum times between events; 0: unlimited.

  /// Lowers the allowed gap to that of another request; 0: unlimited.
  void limitGap(double Ms) {
    if (Ms > 0)
      GapMs = GapMs > 0 ? std::min(GapMs, Ms) : Ms;
  }
};

/// A backend server with the reported work of other entries, and its failure backoff.
class tracked_engine {
public:
  explicit tracked_engine(backend_listing NewListing) : Listing(std::move(NewListing)) {}

  void update(backend_listing NewListing) { Listing = std::move(NewListing); }
  /// Replaces the reported work of all other entries on this server.
  void setOthersLoad(const work_load &Load, mono_time Now);

  /// Returns the work of other entries, reduced by the prefill since the last report. The result is
  /// empty if that report is older than MaxAge.
  [[nodiscard]] engine_view othersLoad(mono_time Now, mono_duration MaxAge) const;

  /// Returns whether an entry with a lower claim rank, which wins, claims this server and other
  /// entries have more than ThresholdMs of prefill pending here.
  [[nodiscard]] bool hasWinningClaim(std::uint32_t ClaimRank, double ThresholdMs, mono_time Now,
                                     mono_duration MaxAge) const;

  /// Starts a backoff after an attempt failed because of the server.
  void recordFailure(const placement_tuning &Tuning, mono_time Now);
  void recordSuccess() { Failures = 0; }
  /// Attempts that failed at the server although it can be reached.
  [[nodiscard]] server_record &record() { return Record; }
  [[nodiscard]] const server_record &record() const { return Record; }
  [[nodiscard]] server_speed &speed() { return Speed; }
  [[nodiscard]] const server_speed &speed() const { return Speed; }
  /// Records a measurement of this entry that is told to the others.
  void recordSpeed(const speed_sample &Sample) {
    MeasuredHere = Sample;
    Speed.record(Sample);
  }
  [[nodiscard]] const speed_sample &measuredHere() const { return MeasuredHere; }
  /// Returns whether a measurement of other entries counts now. Each is repeated until it is
  /// replaced, and counts once per period.
  bool mayHearSpeed(mono_duration Period, mono_time Now) {
    const bool May = SpeedHeard == mono_time() || Now - SpeedHeard >= Period;
    if (May)
      SpeedHeard = Now;
    return May;
  }
  /// Returns the milliseconds of prefill placed here since the start, as far as known.
  [[nodiscard]] double seenPrefillMs() const { return SeenPrefillMs; }
  void addSeenPrefill(double Ms) { SeenPrefillMs += Ms; }
  /// Ends the backoff, for failures that were not the server's fault.
  void clearFailures() {
    Failures = 0;
    BackoffUntil = TrialUntil = mono_time();
  }
  /// Records a placement. After a failure it is a trial, and no other work is placed on the server
  /// for TrialTimeout.
  void recordPlacement(const placement_tuning &Tuning, mono_time Now);
  [[nodiscard]] bool inBackoff(mono_time Now) const {
    return Now < BackoffUntil || (Failures > 0 && Now < TrialUntil);
  }
  /// Returns whether the server may get new work.
  [[nodiscard]] bool active() const { return Listing.State == listing_state::Active && !Evacuated; }
  /// Sets whether the server's failure domain is out of service. Failures from before do not count
  /// after the restore.
  void setEvacuated(bool IsOut) {
    if (Evacuated && !IsOut)
      clearFailures();
    Evacuated = IsOut;
  }
  [[nodiscard]] bool evacuated() const { return Evacuated; }
  [[nodiscard]] bool leaving() const { return Listing.State == listing_state::Leaving; }
  [[nodiscard]] const backend_key &key() const { return Listing.Key; }
  [[nodiscard]] const service_name &service() const { return Listing.Service; }
  [[nodiscard]] const failure_domain_name &domain() const { return Listing.Domain; }
  /// Returns the number of concurrent requests that the server announced.
  [[nodiscard]] std::uint32_t slots() const { return Listing.Slots; }

private:
  backend_listing Listing;
  work_load Others; ///< As of OthersReceived.
  mono_time OthersReceived{mono_time::min()};
  std::uint32_t Failures{0}; ///< Consecutive failures.
  mono_time BackoffUntil;
  mono_time TrialUntil;
  server_record Record;
  server_speed Speed;
  speed_sample MeasuredHere; ///< The latest.
  mono_time SpeedHeard;
  double SeenPrefillMs{0};
  bool Evacuated{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_TRACKED_ENGINE_BASE_H
