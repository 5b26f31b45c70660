/** @file attempt.cpp The attempt's states and transitions in Boost.MSM. */
#include "dispatch/attempt_base.h"

// Boost.MPL limits vectors to 20 elements by default; the transition table has more rows.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40
#define BOOST_MPL_LIMIT_MAP_SIZE 40
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace pollenstall {

namespace {

namespace front = boost::msm::front;

struct start {};
struct sending {};
struct answering {};
struct advance {};
struct complete {};
struct fail {};
struct resume {};
struct cancel {};
struct confirm {};
struct backend_gone {};

/// The state machine's definition; each state stores its enum value on entry.
struct attempt_def : front::state_machine_def<attempt_def> {
  attempt_state CurrentState{attempt_state::Waiting};
  bool Refused{false};

  template <attempt_state Name> struct named_state : front::state<> {
    template <typename Event, typename Machine>
    void on_entry(const Event & /*Event*/, Machine &Owner) {
      Owner.CurrentState = Name;
    }
  };

  using at_waiting = named_state<attempt_state::Waiting>;
  using at_connecting = named_state<attempt_state::Connecting>;
  using at_sent = named_state<attempt_state::Sent>;
  using at_answering = named_state<attempt_state::Answering>;
  using at_resuming = named_state<attempt_state::Resuming>;
  using at_completed = named_state<attempt_state::Completed>;
  using at_failed = named_state<attempt_state::Failed>;
  using at_cancelling = named_state<attempt_state::Cancelling>;
  using at_gone = named_state<attempt_state::Gone>;

  using initial_state = at_waiting;
  template <typename From, typename Event, typename Next> using row = front::Row<From, Event, Next>;

  struct transition_table
      : boost::mpl::vector<
            row<at_waiting, start, at_connecting>, row<at_connecting, sending, at_sent>,
            row<at_connecting, fail, at_failed>, row<at_connecting, cancel, at_cancelling>,
            row<at_connecting, backend_gone, at_gone>, row<at_sent, answering, at_answering>,
            row<at_sent, complete, at_completed>, row<at_sent, fail, at_failed>,
            row<at_sent, cancel, at_cancelling>, row<at_sent, backend_gone, at_gone>,
            row<at_answering, advance, at_answering>, row<at_answering, complete, at_completed>,
            row<at_answering, resume, at_resuming>, row<at_answering, fail, at_failed>,
            row<at_answering, cancel, at_cancelling>, row<at_answering, backend_gone, at_gone>,
            row<at_resuming, sending, at_resuming>, row<at_resuming, answering, at_answering>,
            row<at_resuming, advance, at_answering>, row<at_resuming, complete, at_completed>,
            row<at_resuming, resume, at_resuming>, row<at_resuming, fail, at_failed>,
            row<at_resuming, cancel, at_cancelling>, row<at_resuming, backend_gone, at_gone>,
            row<at_cancelling, confirm, at_gone>, row<at_cancelling, complete, at_completed>,
            row<at_cancelling, fail, at_failed>, row<at_cancelling, backend_gone, at_gone>> {};

  template <typename Machine, typename Event>
  void no_transition(const Event & /*Event*/, Machine & /*Owner*/, int /*State*/) {
    Refused = true;
  }
};

} // namespace

struct attempt_lifecycle::machine : boost::msm::back::state_machine<attempt_def> {};

attempt_lifecycle::attempt_lifecycle() : Machine(std::make_unique<machine>()) { Machine->start(); }
attempt_lifecycle::~attempt_lifecycle() = default;
attempt_lifecycle::attempt_lifecycle(attempt_lifecycle &&Other) noexcept = default;
attempt_lifecycle &attempt_lifecycle::operator=(attempt_lifecycle &&Other) noexcept = default;

bool attempt_lifecycle::apply(attempt_step Step) {
  Machine->Refused = false;
  switch (Step) {
  case attempt_step::Start:
    Machine->process_event(start{});
    break;
  case attempt_step::Sending:
    Machine->process_event(sending{});
    break;
  case attempt_step::Answering:
    Machine->process_event(answering{});
    break;
  case attempt_step::Advance:
    Machine->process_event(advance{});
    break;
  case attempt_step::Complete:
    Machine->process_event(complete{});
    break;
  case attempt_step::Fail:
    Machine->process_event(fail{});
    break;
  case attempt_step::Resume:
    Machine->process_event(resume{});
    break;
  case attempt_step::Cancel:
    Machine->process_event(cancel{});
    break;
  case attempt_step::Confirm:
    Machine->process_event(confirm{});
    break;
  case attempt_step::BackendGone:
    Machine->process_event(backend_gone{});
    break;
  }
  return !Machine->Refused;
}

attempt_state attempt_lifecycle::state() const { return Machine->CurrentState; }

} // namespace pollenstall
