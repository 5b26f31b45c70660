/** @file control_state_base.h The state that every control host builds from the same log. */
#ifndef POLLENSTALL_CONTROL_STATE_CONTROL_STATE_BASE_H
#define POLLENSTALL_CONTROL_STATE_CONTROL_STATE_BASE_H

#include "control_state/control_state_type.h"

#include <deque>
#include <map>
#include <set>

namespace pollenstall {

/**
 * Declaration, drains, claims, fencing numbers, the backend servers that leaders have heard of and
 * the requests under which some crashed, with the answers to the changes that made them.
 * The one way to change it is execute(), which is a function of the state and the command alone, so
 * that every member comes to the same state and the same answers.
 */
class control_state {
public:
  explicit control_state(const control_limits &Bounds);

  /// @return The answer that execute() would give now; changes nothing.
  [[nodiscard]] control_answer check(const control_command &Command) const;

  /// Carries a command out. @return The answer to whoever proposed it.
  control_answer execute(const control_command &Command);

  [[nodiscard]] const declared_text &declared() const { return Declared; }
  [[nodiscard]] const std::deque<history_record> &history() const { return History; }
  [[nodiscard]] const std::set<backend_address> &drains() const { return Drains; }
  [[nodiscard]] std::uint64_t drainsVersion() const { return DrainsVersion; }
  [[nodiscard]] const claim_table &claims() const { return Claims; }
  [[nodiscard]] const suspect_table &suspects() const { return Suspects; }

  /// @return The backend servers that the last leader listed.
  [[nodiscard]] std::vector<backend_listing> backends() const;
  /// @return The newest life of the name, or null.
  [[nodiscard]] const backend_listing *backend(const instance_name &Instance) const;

  /// @return What a change id was answered, or null where it is not known.
  [[nodiscard]] const answer_record *findAnswer(const change_id &Id) const;

  /// @return The state as plain values. Defined in control_state_sl.cpp.
  [[nodiscard]] control_snapshot snapshot() const;

  /// @return The state that a snapshot describes. Defined in control_state_sl.cpp.
  static result<control_state, control_state_error> restore(const control_snapshot &Snapshot,
                                                            const control_limits &Bounds);

private:
  [[nodiscard]] control_answer checkOne(const apply_change &Command) const;
  [[nodiscard]] control_answer checkOne(const set_drain &Command) const;
  [[nodiscard]] control_answer checkOne(const take_fence &Command) const;
  [[nodiscard]] control_answer checkOne(const offer_declaration &Command) const;
  [[nodiscard]] control_answer checkOne(const claim_acquire &Command) const;
  [[nodiscard]] control_answer checkOne(const claim_settle &Command) const;
  [[nodiscard]] control_answer checkOne(const claim_expire &Command) const;
  [[nodiscard]] static control_answer checkOne(const note_backends &Command);
  [[nodiscard]] static control_answer checkOne(const note_crash &Command);
  [[nodiscard]] static control_answer checkOne(const clear_suspect &Command);

  void executeOne(const apply_change &Command, const change_verdict &Verdict);
  void executeOne(const set_drain &Command, const change_verdict &Verdict);
  template <typename Change> control_answer executeChange(const Change &Command);
  control_answer executeCommand(const take_fence &Command);
  control_answer executeCommand(const offer_declaration &Command);
  control_answer executeCommand(const note_backends &Command);
  control_answer executeCommand(const note_crash &Command);
  control_answer executeCommand(const clear_suspect &Command);
  void keepBackend(const backend_listing &Listing);
  template <typename Claim> control_answer executeClaim(const Claim &Command);

  [[nodiscard]] change_verdict judge(const apply_change &Command) const;
  [[nodiscard]] change_verdict judge(const set_drain &Command) const;
  template <typename Change> [[nodiscard]] control_answer checkChange(const Change &Command) const;

  void record(answer_record Answer);
  void forgetOldAnswers();
  void requireConsistent() const;

  control_limits Limits;
  declared_text Declared;
  std::deque<history_record> History;
  std::map<change_id, answer_record> Answers;
  std::deque<change_id> AnswerOrder; ///< Oldest first.
  std::set<backend_address> Drains;
  std::uint64_t DrainsVersion{0};
  fencing_token LastFence;
  unix_millis LatestTime{0}; ///< Rises only, whatever the leaders' clocks do.
  claim_table Claims;
  std::map<instance_name, backend_listing> Backends; ///< The newest life of each name.
  suspect_table Suspects;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_STATE_CONTROL_STATE_BASE_H
