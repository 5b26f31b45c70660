/** @file order_duty.cpp The loop of the order duty. */
#include "order_link/order_duty_base.h"

#include "order_link/engine_call_func.h"

namespace pollenstall {

namespace {

constexpr std::chrono::milliseconds Tick{20};

engine_state stateFrom(const backend_view &View) {
  const backend_announcement &Said = View.Announcement;
  engine_state State;
  State.Key = Said.Key;
  State.Service = Said.Service;
  State.Domain = Said.Domain;
  State.Labels = Said.Labels;
  State.Orders = Said.Capabilities.Orders;
  State.Leaving = View.Standing == backend_standing::Leaving;
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
  case gate_refusal::OtherOffice:
    return "other_office";
  case gate_refusal::PredecessorUnderWay:
    return "predecessor_under_way";
  case gate_refusal::StateUnread:
    return "state_unread";
  case gate_refusal::OwnOrderUnderWay:
    return "own_order_under_way";
  }
  return {};
}

order_duty::order_duty(order_duty_options Bounds, order_duty_hooks Asked,
                       bounded_ring<membership_event> &Events)
    : Options(Bounds), Hooks(std::move(Asked)), Changes(Events), Planner(Options.Planner),
      Gate(Options.Gate) {}

order_duty::~order_duty() {
  Stopping.store(true);
  if (Thread.joinable())
    Thread.join();
}

void order_duty::start() {
  Thread = std::thread([this] { run(); });
}

void order_duty::run() {
  while (!Stopping.load()) {
    step();
    publish();
    std::this_thread::sleep_for(Tick);
  }
}

void order_duty::step() {
  learnEngines();
  if (!look() || !openOffice())
    return;
  for (const auto &[Key, State] : Engines)
    Planner.announced(State, Now);
  if (auto Placements = Hooks.Placements())
    Planner.declare(std::move(*Placements));
  readStates();
  sendOrders();
}

/// @return Whether this host holds a lease.
bool order_duty::look() {
  Lease = Hooks.Lease();
  // Read after the lease: a process that is stopped between the two must not take an old lease for
  // a valid one.
  Now = boot_clock::now();
  Lease.Valid = Lease.Valid && Now < Lease.End;
  Gate.see(Lease, Now);
  return Lease.Valid;
}

void order_duty::learnEngines() {
  Changes.drain([this](membership_event &&Event) {
    if (const auto *Changed = std::get_if<backend_changed>(&Event)) {
      const backend_key &Key = Changed->View.Announcement.Key;
      if (Changed->View.Standing != backend_standing::Lost) {
        Engines[Key] = stateFrom(Changed->View);
        return;
      }
      Engines.erase(Key);
      Planner.forget(Key);
      Gate.forget(Key);
    } else if (const auto *Gone = std::get_if<backend_gone>(&Event)) {
      Engines.erase(Gone->Key);
      NextRead.erase(Gone->Key);
      Planner.forget(Gone->Key);
      Gate.forget(Gone->Key);
    }
  });
}

bool order_duty::openOffice() {
  if (Office == Lease.Term)
    return true;
  const leader_term Wanted = Lease.Term;
  const auto First = Hooks.TakeFence();
  if (!First || !look() || Lease.Term != Wanted)
    return false;
  Planner.takeOffice(*First, Now);
  NextRead.clear();
  Office = Wanted;
  return true;
}

void order_duty::readStates() {
  for (const auto &[Key, State] : Engines) {
    if (Stopping.load() || !look() || Lease.Term != Office)
      return;
    // Before the predecessor's orders are waited out no answer would count.
    const bool Waits = Gate.officeRefusal() == gate_refusal::PredecessorUnderWay;
    if (!Waits && State.Orders != order_check::None && Now >= NextRead[Key])
      readState(Key);
  }
}

void order_duty::readState(const backend_key &Engine) {
  const mono_time Asked = Now;
  NextRead[Engine] = Asked + Options.ReadInterval;
  auto Report = readEngineState(Engine.Address, Options.Calls);
  if (!look() || Lease.Term != Office || !succeeded(Report))
    return;
  engine_report &Seen = valueOf(Report);
  if (Seen.Incarnation == Engine.Incarnation && Gate.stateRead(Engine, Asked))
    Planner.observed(Engine, std::move(Seen.Loaded), Seen.Fence, Asked);
}

void order_duty::sendOrders() {
  if (!look() || Lease.Term != Office)
    return;
  for (const planned_order &Order : Planner.plan(Now)) {
    if (Stopping.load() || !look() || Lease.Term != Office)
      return;
    if (!Gate.refusal(Order.Engine, Office))
      send(Order);
  }
}

void order_duty::send(const planned_order &Order) {
  const auto Fence = Hooks.TakeFence();
  if (!Fence)
    return;
  const leader_term Planned = Office;
  Planner.started(Order, Now);
  const auto MayWrite = [&] {
    look();
    if (Gate.refusal(Order.Engine, Planned))
      return false;
    Gate.writing(Order.Engine, Planned);
    return true;
  };
  const order_outcome Outcome = sendOrder(Order, *Fence, Options.Calls, MayWrite);
  look();
  if (Outcome != order_outcome::NotSent)
    Gate.ended(Order.Engine, Outcome);
  Planner.ended(Order, Outcome, Now);
  NextRead[Order.Engine] = Now;
}

void order_duty::publish() {
  const bool Leads = Lease.Valid && Lease.Term == Office;
  const order_counts Counts = Leads ? Planner.counts(Now) : order_counts{};
  Hooks.Board->publish({Counts, Engines.size(), Gate.officeRefusal()});
}

} // namespace pollenstall
