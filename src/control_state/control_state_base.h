/** @file control_state_base.h The replicated state that control hosts build from the control log.
 */
#ifndef POLLENSTALL_CONTROL_STATE_CONTROL_STATE_BASE_H
#define POLLENSTALL_CONTROL_STATE_CONTROL_STATE_BASE_H

#include "control_state/control_state_type.h"
#include "control_state/evacuation_table_base.h"

#include <deque>
#include <map>
#include <set>

namespace pollenstall {

/**
 * Holds the declaration, drains, evacuated failure domains, claims, fencing tokens, known backend
 * servers, requests suspected of crashing them, and the answers to earlier changes.
 * The state changes only through execute(). Its result depends on the state and the command alone,
 * so that every member reaches the same state and the same answers.
 */
class control_state {
public:
  explicit control_state(const control_limits &StateLimits);

  /// Returns the answer that execute() would give now, without changing the state.
  [[nodiscard]] control_answer check(const control_command &Command) const;

  /// Executes a command. @return The answer to the proposer.
  control_answer execute(const control_command &Command);

  [[nodiscard]] const declaration_record &declared() const { return Declared; }
  [[nodiscard]] const std::deque<history_record> &history() const { return History; }
  [[nodiscard]] const std::set<backend_address> &drains() const { return Drains; }
  [[nodiscard]] std::uint64_t drainsVersion() const { return DrainsVersion; }
  [[nodiscard]] const evacuation_table &evacuations() const { return Evacuations; }
  [[nodiscard]] const claim_table &claims() const { return Claims; }
  [[nodiscard]] const suspect_table &suspects() const { return Suspects; }

  /// @return The backend servers that are listed in the log, without those that are gone.
  [[nodiscard]] std::vector<backend_listing> backends() const;
  /// @return The newest incarnation of the backend server with the name, or null.
  [[nodiscard]] const backend_listing *backend(const instance_name &Instance) const;

  /// @return The decision on a change id, or null if the id is not known.
  [[nodiscard]] const answer_record *findAnswer(const change_id &Id) const;

  /// Returns the state as plain values. Defined in control_state_sl.cpp.
  [[nodiscard]] control_snapshot snapshot() const;

  /// Rebuilds the state from a snapshot. Defined in control_state_sl.cpp.
  static result<control_state, control_state_error> restore(const control_snapshot &Snapshot,
                                                            const control_limits &StateLimits);

private:
  [[nodiscard]] control_answer checkCommand(const apply_change &Command) const;
  [[nodiscard]] control_answer checkCommand(const set_drain &Command) const;
  [[nodiscard]] control_answer checkCommand(const take_fencing_token &Command) const;
  [[nodiscard]] control_answer checkCommand(const offer_declaration &Command) const;
  [[nodiscard]] control_answer checkCommand(const claim_acquire &Command) const;
  [[nodiscard]] control_answer checkCommand(const claim_settle &Command) const;
  [[nodiscard]] control_answer checkCommand(const claim_expire &Command) const;
  [[nodiscard]] static control_answer checkCommand(const update_backends &Command);
  [[nodiscard]] static control_answer checkCommand(const record_crash &Command);
  [[nodiscard]] static control_answer checkCommand(const clear_suspect &Command);
  [[nodiscard]] static control_answer checkCommand(const record_suspect_run &Command);
  [[nodiscard]] control_answer checkCommand(const set_evacuation &Command) const;

  void applyEffect(const apply_change &Command, const change_verdict &Verdict);
  void applyEffect(const set_drain &Command, const change_verdict &Verdict);
  template <typename Change> control_answer executeChange(const Change &Command);
  control_answer executeCommand(const take_fencing_token &Command);
  control_answer executeCommand(const offer_declaration &Command);
  control_answer executeCommand(const update_backends &Command);
  control_answer executeCommand(const record_crash &Command);
  control_answer executeCommand(const clear_suspect &Command);
  control_answer executeCommand(const record_suspect_run &Command);
  control_answer executeCommand(const set_evacuation &Command);
  void storeBackend(const backend_listing &Listing);
  template <typename Claim> control_answer executeClaim(const Claim &Command);

  [[nodiscard]] change_verdict decideVerdict(const apply_change &Command) const;
  [[nodiscard]] change_verdict decideVerdict(const set_drain &Command) const;
  template <typename Change> [[nodiscard]] control_answer checkChange(const Change &Command) const;

  void recordAnswer(answer_record Answer);
  void evictOldAnswers();
  void requireConsistent() const;

  control_limits Limits;
  declaration_record Declared;
  std::deque<history_record> History;
  std::map<change_id, answer_record> Answers;
  std::deque<change_id> AnswerOrder; ///< Oldest first.
  std::set<backend_address> Drains;
  std::uint64_t DrainsVersion{0};
  fencing_token LastFence;
  /// Largest time of all commands; never decreases, even if a leader's clock does.
  unix_millis LatestCommandTime{0};
  claim_table Claims;
  std::map<instance_name, backend_listing> Backends; ///< The newest incarnation of each name.
  suspect_table Suspects;
  evacuation_table Evacuations;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_STATE_CONTROL_STATE_BASE_H
