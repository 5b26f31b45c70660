/** @file backend_pool_base.h Backend servers known to a scheduler and their learned state. */
#ifndef POLLENSTALL_SCHEDULING_BACKEND_POOL_BASE_H
#define POLLENSTALL_SCHEDULING_BACKEND_POOL_BASE_H

#include "declaration/declaration_type.h"
#include "evacuation/evacuation.h"
#include "membership/membership_type.h"
#include "scheduling/cost_model_base.h"
#include "scheduling/memory_tracker_base.h"
#include "scheduling/outlier_detector_base.h"
#include "scheduling/prefill_tracker_base.h"

#include <map>
#include <set>
#include <vector>

namespace pollenstall {

/// A backend server with its latest announcement and load report, and this host's trackers for it.
struct scheduled_backend {
  backend_view View;
  cost_model Costs;
  prefill_tracker Prefill;
  memory_tracker Memory;
  std::uint32_t Outstanding{0};         ///< Own attempts that have not ended.
  std::uint32_t OwnAttemptsInReport{0}; ///< Outstanding attempts included in the last report.
  mono_time LastProgress;               ///< When an own attempt on the server last received data.
  bool Evacuated{false};                ///< Its failure domain is out of service.

  [[nodiscard]] const backend_key &key() const { return View.Announcement.Key; }
  /// Returns whether the server may get new work.
  [[nodiscard]] bool active() const { return View.Status == backend_status::Active && !Evacuated; }
  /// Returns the estimated number of requests of all hosts on the server.
  [[nodiscard]] double requestCount() const;
  /// Returns the memory blocks needed for the prompt and the longest allowed answer.
  [[nodiscard]] memory_blocks blocksNeeded(const work_item &Item) const;
  /// Returns whether the server has the requested model. Plain requests need no model.
  [[nodiscard]] bool serves(const work_item &Item) const;
};

/// Backend servers by key and by group, and the engines of each group that accept long prompts.
class backend_pool {
public:
  void applyDeclaration(const fleet_declaration &Declaration);
  /// Adds or updates a server. @return Its record.
  scheduled_backend &update(const backend_view &View, mono_time Now);
  void remove(const backend_key &Backend);
  /// Takes the servers of evacuated domains out. Failures from before do not count after a restore.
  void setEvacuations(const evacuation_list &List);
  [[nodiscard]] bool anyEvacuated() const { return !Evacuations.empty(); }

  [[nodiscard]] scheduled_backend *find(const backend_key &Backend);
  /// Returns all servers of the group, or of the service if Group is empty, regardless of their
  /// status.
  [[nodiscard]] const std::vector<scheduled_backend *> &members(const service_name &Service,
                                                                const group_name &Group);
  /// Recomputes which engines of each group accept long prompts.
  /// @param MaxShare Maximum share of the engines of a group.
  /// @param LongCostShare Share of the recent cost that is in the long class, from 0 to 1.
  void selectLongEngines(double MaxShare, double LongCostShare);
  /// Returns whether the engine accepts long prompts of the group.
  /// @param EngineShare Only this share of the group's long-prompt engines counts, taken from the
  /// start of longWorkOrder().
  [[nodiscard]] bool acceptsLongWork(const group_name &Group, const backend_key &Backend,
                                     double EngineShare = 1.0) const;
  /// Updates the learned rates, then ejects slow and failing servers of each service.
  void updateEjections(std::uint32_t MaxEjectPercent, mono_time Now);

  [[nodiscard]] outlier_detector &outlierDetector() { return OutlierDetector; }
  [[nodiscard]] const outlier_detector &outlierDetector() const { return OutlierDetector; }
  [[nodiscard]] const std::map<backend_key, scheduled_backend> &records() const { return Records; }
  /// Returns the median prefill rate, in tokens per second, of the active engines with samples.
  /// The initial value is the prior.
  [[nodiscard]] double typicalRate() const { return TypicalRate; }
  /// Returns the median seconds per token event of the same engines.
  [[nodiscard]] double typicalStep() const { return TypicalStep; }
  /**
   * Returns the prefill rate for admission control. With the prior, a fleet that is faster than the
   * prior would refuse long prompts and then never learn its actual rate from them. Until engines
   * have enough samples, the rate is therefore an optimistic one.
   */
  [[nodiscard]] double admissionPrefillRate() const;

private:
  struct group_members {
    service_name Service;
    label_set Labels;
    std::vector<scheduled_backend *> Servers;
    std::map<backend_key, std::size_t> LongEngines; ///< With their position in longWorkOrder().
  };

  void rebuild();
  void updateTypicalRates();

  std::map<backend_key, scheduled_backend> Records;
  std::map<group_name, group_members> Groups;
  std::map<service_name, std::vector<scheduled_backend *>> Services;
  std::vector<scheduled_backend *> NoServers;
  outlier_detector OutlierDetector;
  evacuation_list Evacuations;
  bool Stale{true}; ///< A label, service, status or the set of servers changed since rebuild().
  double LongFrom{100'000};
  double TypicalRate{cost_model().prefillRate()};
  double TypicalStep{cost_model().secondsPerStep()};
  bool TypicalRateLearned{false}; ///< An active engine has at least MinSamplesForRefusal samples.
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_BACKEND_POOL_BASE_H
