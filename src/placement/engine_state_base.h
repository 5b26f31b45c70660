/** @file engine_state_base.h What one entry knows of the work at one backend server. */
#ifndef POLLENSTALL_PLACEMENT_ENGINE_STATE_BASE_H
#define POLLENSTALL_PLACEMENT_ENGINE_STATE_BASE_H

#include "declaration/declaration_type.h"
#include "directory/directory_type.h"
#include "placement/placement_type.h"

#include <algorithm>

namespace pollenstall {

/// All entries' work at one backend server, as of now.
struct engine_view {
  std::uint32_t Requests{0};
  std::uint32_t Writers{0};
  double ReadMs{0}; ///< Still to be read.
  double Tokens{0}; ///< Memory taken.
  double GapMs{0};  ///< The shortest that the requests allow between two events; 0: any.

  /// Another request is there, with its own gap; 0: any.
  void noteGap(double Ms) {
    if (Ms > 0)
      GapMs = GapMs > 0 ? std::min(GapMs, Ms) : Ms;
  }
};

/// One backend server with what is under way there, of this entry and of others.
class engine_state {
public:
  explicit engine_state(backend_listing Known) : Listing(std::move(Known)) {}

  void update(backend_listing Known) { Listing = std::move(Known); }
  /// What all other entries together have under way here; replaces what was told before.
  void takeOthers(const work_load &Load, mono_time Now);

  /// @return The work of other entries, unless nothing was heard of it lately. Reading that was
  /// told of has gone on.
  [[nodiscard]] engine_view othersWork(mono_time Now, mono_duration Silence) const;

  /// @return Whether an entry that goes before the one with this precedence has more than this to
  /// read here.
  [[nodiscard]] bool readBefore(std::uint32_t Precedence, double MoreThanMs, mono_time Now,
                                mono_duration Silence) const;

  /// An attempt failed for a reason that is the server's.
  void noteFailure(const placement_tuning &Tuning, mono_time Now);
  void noteSuccess() { Failures = 0; }
  /// What failed was not the server's fault.
  void forgive() {
    Failures = 0;
    PausedUntil = TrialUntil = mono_time();
  }
  /// Work was placed here. After a failure the next work is a trial, and for a while the only one.
  void notePlaced(const placement_tuning &Tuning, mono_time Now);
  [[nodiscard]] bool paused(mono_time Now) const {
    return Now < PausedUntil || (Failures > 0 && Now < TrialUntil);
  }
  [[nodiscard]] bool active() const { return Listing.State == listing_state::Active; }
  [[nodiscard]] const backend_key &key() const { return Listing.Key; }
  [[nodiscard]] const service_name &service() const { return Listing.Service; }
  [[nodiscard]] const failure_domain_name &domain() const { return Listing.Domain; }
  /// Requests that it runs at once, as it announced.
  [[nodiscard]] std::uint32_t places() const { return Listing.Places; }

private:
  backend_listing Listing;
  work_load Others; ///< As of when it was heard.
  mono_time OthersHeard{mono_time::min()};
  std::uint32_t Failures{0}; ///< In a row.
  mono_time PausedUntil;
  mono_time TrialUntil;
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_ENGINE_STATE_BASE_H
