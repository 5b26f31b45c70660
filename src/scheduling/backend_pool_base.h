/** @file backend_pool_base.h The backend servers one scheduler knows, with what it learnt of each.
 */
#ifndef POLLENSTALL_SCHEDULING_BACKEND_POOL_BASE_H
#define POLLENSTALL_SCHEDULING_BACKEND_POOL_BASE_H

#include "declaration/declaration_type.h"
#include "membership/membership_type.h"
#include "scheduling/cost_model_base.h"
#include "scheduling/ejection_base.h"
#include "scheduling/memory_ledger_base.h"
#include "scheduling/prefill_ledger_base.h"

#include <map>
#include <set>
#include <vector>

namespace pollenstall {

/// One backend server: its announcement and report, and this host's ledgers of it.
struct scheduled_backend {
  backend_view View;
  cost_model Costs;
  prefill_ledger Prefill;
  memory_ledger Memory;
  std::uint32_t Outstanding{0}; ///< Own attempts that have not ended.
  std::uint32_t OwnInReport{0}; ///< Of these, how many the last report counts.
  mono_time LastProgress;       ///< When any own attempt on it last got something.

  [[nodiscard]] const backend_key &key() const { return View.Announcement.Key; }
  [[nodiscard]] bool active() const { return View.Standing == backend_standing::Active; }
  /// @return Requests on the server, of every host, as far as this host knows.
  [[nodiscard]] double requests() const;
  /// @return Blocks that the work needs for its prompt and longest answer.
  [[nodiscard]] memory_blocks need(const work_item &Item) const;
  /// @return Whether it has the model of the work; plain work needs none.
  [[nodiscard]] bool serves(const work_item &Item) const;
};

/// Records by key, by group, and the engines of each group that take long work.
class backend_pool {
public:
  void applyDeclaration(const fleet_declaration &Declaration);
  /// @return The record that was updated.
  scheduled_backend &update(const backend_view &View, mono_time Now);
  void remove(const backend_key &Backend);

  [[nodiscard]] scheduled_backend *find(const backend_key &Backend);
  /// @return The group's servers of any standing; those of the service where Group is empty.
  [[nodiscard]] const std::vector<scheduled_backend *> &members(const service_name &Service,
                                                                const group_name &Group);
  /// Recomputes which engines of each group take long work. @param LongDemand Part of recent cost.
  void chooseLongEngines(double GreatestShare, double LongDemand);
  /// @param Part Of the engines that take long work, counted from the first in the common order.
  [[nodiscard]] bool takesLong(const group_name &Group, const backend_key &Backend,
                               double Part = 1.0) const;
  /// Reviews every group for slow and failing servers.
  void review(std::uint32_t MostPercent, mono_time Now);

  [[nodiscard]] ejection &ejections() { return Ejections; }
  [[nodiscard]] const ejection &ejections() const { return Ejections; }
  [[nodiscard]] const std::map<backend_key, scheduled_backend> &records() const { return Records; }
  /// @return The median prefill rate of active engines with samples, else the prior.
  [[nodiscard]] double typicalRate() const { return TypicalRate; }
  [[nodiscard]] double typicalStep() const { return TypicalStep; }
  /**
   * The rate that a refusal may rest on. A prior is a guess: a fleet faster than it would refuse
   * long prompts and, getting none, never learn better. So the guess is a fast one until engines
   * have shown their rate.
   */
  [[nodiscard]] double refusalRate() const;

private:
  struct group_members {
    service_name Service;
    label_set Labels;
    std::vector<scheduled_backend *> Servers;
    std::map<backend_key, std::size_t> LongEngines; ///< With the place in the common order.
  };

  void rebuild();
  void learnTypical();

  std::map<backend_key, scheduled_backend> Records;
  std::map<group_name, group_members> Groups;
  std::map<service_name, std::vector<scheduled_backend *>> Services;
  std::vector<scheduled_backend *> Nobody;
  ejection Ejections;
  bool Stale{true}; ///< A label, a service or the set of servers changed since the last rebuild.
  double LongFrom{100'000};
  double TypicalRate{cost_model().prefillRate()};
  double TypicalStep{cost_model().secondsPerStep()};
  bool RateLearnt{false}; ///< An active engine has samples enough to refuse by.
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_BACKEND_POOL_BASE_H
