/** @file order_executor.cpp Main loop of the order executor. */
#include "order_link/order_executor_base.h"

#include "order_link/engine_call_func.h"

namespace pollenstall {

namespace {

constexpr std::chrono::milliseconds PollInterval{20};

engine_state engineStateFrom(const backend_view &View) {
  const backend_announcement &Announced = View.Announcement;
  engine_state State;
  State.Key = Announced.Key;
  State.Service = Announced.Service;
  State.Domain = Announced.Domain;
  State.Labels = Announced.Labels;
  State.OrderCheck = Announced.Capabilities.Orders;
  State.Leaving = View.Status == backend_status::Leaving;
  return State;
}

} // namespace

std::string_view toText(gate_refusal Refusal) {
  switch (Refusal) {
  case gate_refusal::NoLease:
    return "no_lease";
  case gate_refusal::LeaseTooShort:
    return "lease_too_short";
  case gate_refusal::ClockJumped:
    return "clock_jumped";
  case gate_refusal::StaleTerm:
    return "other_office";
  case gate_refusal::PredecessorInFlight:
    return "predecessor_under_way";
  case gate_refusal::StateNotRead:
    return "state_unread";
  case gate_refusal::OwnOrderInFlight:
    return "own_order_under_way";
  }
  return {};
}

order_executor::order_executor(order_executor_options ExecutorOptions,
                               order_executor_callbacks ExecutorCallbacks,
                               bounded_ring<membership_event> &MembershipEvents)
    : Options(ExecutorOptions), Callbacks(std::move(ExecutorCallbacks)), Events(MembershipEvents),
      Planner(Options.Planner), Gate(Options.Gate) {}

order_executor::~order_executor() {
  Stopping.store(true);
  if (Thread.joinable())
    Thread.join();
}

void order_executor::start() {
  Thread = std::thread([this] { run(); });
}

void order_executor::run() {
  while (!Stopping.load()) {
    step();
    publish();
    std::this_thread::sleep_for(PollInterval);
  }
}

void order_executor::step() {
  updateEngines();
  if (!refreshLease() || !enterTerm())
    return;
  for (const auto &[Key, State] : Engines)
    Planner.updateAnnouncement(State, Now);
  if (auto Placements = Callbacks.Placements())
    Planner.setPlacements(std::move(*Placements));
  readStates();
  sendOrders();
}

/// Reads the lease and the clock. @return Whether this host holds a valid lease.
bool order_executor::refreshLease() {
  Lease = Callbacks.Lease();
  // The clock is read after the lease, so that a stop of the process in between does not make an
  // expired lease look valid.
  Now = boot_clock::now();
  Lease.Valid = Lease.Valid && Now < Lease.End;
  Gate.updateLease(Lease, Now);
  return Lease.Valid;
}

void order_executor::updateEngines() {
  Events.drain([this](membership_event &&Event) {
    if (const auto *Changed = std::get_if<backend_changed>(&Event)) {
      const backend_key &Key = Changed->View.Announcement.Key;
      if (Changed->View.Status != backend_status::Lost) {
        Engines[Key] = engineStateFrom(Changed->View);
        return;
      }
      Engines.erase(Key);
      Planner.removeEngine(Key);
      Gate.removeEngine(Key);
    } else if (const auto *Removed = std::get_if<backend_gone>(&Event)) {
      Engines.erase(Removed->Key);
      NextRead.erase(Removed->Key);
      Planner.removeEngine(Removed->Key);
      Gate.removeEngine(Removed->Key);
    }
  });
}

bool order_executor::enterTerm() {
  if (PlannerTerm == Lease.Term)
    return true;
  const leader_term NewTerm = Lease.Term;
  const auto TermToken = Callbacks.TakeFencingToken();
  if (!TermToken || !refreshLease() || Lease.Term != NewTerm)
    return false;
  Planner.beginTerm(*TermToken, Now);
  NextRead.clear();
  PlannerTerm = NewTerm;
  return true;
}

void order_executor::readStates() {
  for (const auto &[Key, State] : Engines) {
    if (Stopping.load() || !refreshLease() || Lease.Term != PlannerTerm)
      return;
    // The gate accepts no state before the new leader delay has passed.
    const bool AwaitsPredecessor = Gate.leaderRefusal() == gate_refusal::PredecessorInFlight;
    if (!AwaitsPredecessor && State.OrderCheck != order_check::None && Now >= NextRead[Key])
      readState(Key);
  }
}

void order_executor::readState(const backend_key &Engine) {
  const mono_time RequestedAt = Now;
  NextRead[Engine] = RequestedAt + Options.ReadInterval;
  auto Report = readEngineState(Engine.Address, Options.Calls);
  if (!refreshLease() || Lease.Term != PlannerTerm || !succeeded(Report))
    return;
  engine_state_response &Observed = valueOf(Report);
  if (Observed.Incarnation == Engine.Incarnation && Gate.recordStateRead(Engine, RequestedAt))
    Planner.updateState(Engine, std::move(Observed.Loaded), Observed.Fence, RequestedAt);
}

void order_executor::sendOrders() {
  if (!refreshLease() || Lease.Term != PlannerTerm)
    return;
  for (const planned_order &Order : Planner.plan(Now)) {
    if (Stopping.load() || !refreshLease() || Lease.Term != PlannerTerm)
      return;
    if (!Gate.refusal(Order.Engine, PlannerTerm))
      send(Order);
  }
}

void order_executor::send(const planned_order &Order) {
  const auto Fence = Callbacks.TakeFencingToken();
  if (!Fence)
    return;
  const leader_term PlannedTerm = PlannerTerm;
  Planner.startOrder(Order, Now);
  const auto MayWrite = [&] {
    refreshLease();
    if (Gate.refusal(Order.Engine, PlannedTerm))
      return false;
    Gate.beginWrite(Order.Engine, PlannedTerm);
    return true;
  };
  const order_outcome Outcome = sendOrder(Order, *Fence, Options.Calls, MayWrite);
  refreshLease();
  if (Outcome != order_outcome::NotSent)
    Gate.endWrite(Order.Engine, Outcome);
  Planner.finishOrder(Order, Outcome, Now);
  NextRead[Order.Engine] = Now;
}

void order_executor::publish() {
  const bool IsLeader = Lease.Valid && Lease.Term == PlannerTerm;
  const order_counts Counts = IsLeader ? Planner.counts(Now) : order_counts{};
  Callbacks.StatusView->publish({Counts, Engines.size(), Gate.leaderRefusal()});
}

} // namespace pollenstall
