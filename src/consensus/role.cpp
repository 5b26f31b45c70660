/** @file role.cpp The role of a replica as a Boost.MSM machine. */
#include "consensus/role_base.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace pollenstall {

namespace {

namespace front = boost::msm::front;

struct made_voter {};
struct made_learner {};
struct election_timeout {};
struct pre_vote_won {};
struct vote_won {};
struct step_down {};

template <replica_role Role> struct role_state : front::state<> {
  template <typename Event, typename Machine> void on_entry(const Event &, Machine &StateMachine) {
    StateMachine.Current = Role;
  }
};

using learner = role_state<replica_role::Learner>;
using follower = role_state<replica_role::Follower>;
using pre_candidate = role_state<replica_role::PreCandidate>;
using candidate = role_state<replica_role::Candidate>;
using leader = role_state<replica_role::Leader>;

struct role_definition : front::state_machine_def<role_definition> {
  using initial_state = learner;

  // clang-format off
  struct transition_table : boost::mpl::vector<
    front::Row<learner,       made_voter,       follower>,
    front::Row<learner,       step_down,        front::none>,
    front::Row<follower,      made_learner,     learner>,
    front::Row<follower,      election_timeout, pre_candidate>,
    front::Row<follower,      step_down,        front::none>,
    front::Row<pre_candidate, election_timeout, pre_candidate>,
    front::Row<pre_candidate, pre_vote_won,     candidate>,
    front::Row<pre_candidate, step_down,        follower>,
    front::Row<pre_candidate, made_learner,     learner>,
    front::Row<candidate,     election_timeout, pre_candidate>,
    front::Row<candidate,     vote_won,         leader>,
    front::Row<candidate,     step_down,        follower>,
    front::Row<candidate,     made_learner,     learner>,
    front::Row<leader,        step_down,        follower>,
    front::Row<leader,        made_learner,     learner>> {};
  // clang-format on

  template <typename Machine, typename Event> void no_transition(const Event &, Machine &, int) {
    failInvariant("a role event has a transition in the table",
                  [this] { return std::string("role ") + toText(Current); });
  }

  replica_role Current{replica_role::Learner};
};

} // namespace

struct role_machine::machine : boost::msm::back::state_machine<role_definition> {};

role_machine::role_machine() : Machine(std::make_unique<machine>()) { Machine->start(); }
role_machine::~role_machine() = default;
role_machine::role_machine(role_machine &&) noexcept = default;
role_machine &role_machine::operator=(role_machine &&) noexcept = default;

replica_role role_machine::current() const { return Machine->Current; }

void role_machine::process(role_event Event) {
  switch (Event) {
  case role_event::MadeVoter:
    Machine->process_event(made_voter{});
    return;
  case role_event::MadeLearner:
    Machine->process_event(made_learner{});
    return;
  case role_event::ElectionTimeout:
    Machine->process_event(election_timeout{});
    return;
  case role_event::PreVoteWon:
    Machine->process_event(pre_vote_won{});
    return;
  case role_event::VoteWon:
    Machine->process_event(vote_won{});
    return;
  case role_event::SteppedDown:
    Machine->process_event(step_down{});
    return;
  }
}

const char *toText(replica_role Role) {
  switch (Role) {
  case replica_role::Learner:
    return "learner";
  case replica_role::Follower:
    return "follower";
  case replica_role::PreCandidate:
    return "pre-candidate";
  case replica_role::Candidate:
    return "candidate";
  case replica_role::Leader:
    return "leader";
  }
  return "unknown";
}

} // namespace pollenstall
