/** @file evacuation_table_base.h The failure domains that operators have taken out of service. */
#ifndef POLLENSTALL_CONTROL_STATE_EVACUATION_TABLE_BASE_H
#define POLLENSTALL_CONTROL_STATE_EVACUATION_TABLE_BASE_H

#include "control_state/control_state_type.h"

#include <map>

namespace pollenstall {

/**
 * Holds the evacuated failure domains. Its version increases with each change of the set; 0 means
 * that no domain was ever evacuated.
 */
class evacuation_table {
public:
  /// @param MaxDomains Must be the same on every member.
  explicit evacuation_table(std::size_t MaxDomains) : Limit(MaxDomains) {}

  /// @return The answer that execute() would give now.
  [[nodiscard]] control_answer check(const set_evacuation &Command) const;

  /// Executes a command. @param Time Of the change if there is one. @return The answer.
  control_answer execute(const set_evacuation &Command, unix_millis Time);

  [[nodiscard]] std::uint64_t version() const { return Version; }
  [[nodiscard]] bool empty() const { return Domains.empty(); }
  [[nodiscard]] std::size_t size() const { return Domains.size(); }
  /// @return The names in ascending order.
  [[nodiscard]] std::vector<failure_domain_name> names() const;
  /// @return The records in order of their names.
  [[nodiscard]] std::vector<evacuation_record> records() const;

  /// Replaces the contents by those of a snapshot. @return False if they are not valid.
  bool restore(const std::vector<evacuation_record> &Records, std::uint64_t RecordsVersion);

private:
  std::size_t Limit;
  std::uint64_t Version{0};
  std::map<failure_domain_name, evacuation_record> Domains;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_STATE_EVACUATION_TABLE_BASE_H
