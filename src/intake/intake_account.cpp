/** @file intake_account.cpp Which message may grow, and which one gives way. */
#include "intake/intake_account_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// A message may take this part of what is free.
constexpr std::size_t PartOfFree = 3;
/// Messages up to this size may use the reserve as well.
constexpr std::size_t SmallMessageBytes = 64U << 10U;
/// This part of the memory is the reserve.
constexpr std::size_t ReservePart = 8;
/// Fewer bytes than these are no progress: a message that arrives byte by byte holds its memory as
/// long as one that has stopped.
constexpr std::size_t ProgressBytes = 4U << 10U;
/// A sound peer may be silent for as long as a lost packet takes to be sent again.
constexpr std::chrono::seconds MaxStall{1};

} // namespace

bool intake_account::fitsBeside(std::size_t Others, std::size_t Bytes) const {
  const std::size_t Usable = Bytes <= SmallMessageBytes ? Limit : Limit - Limit / ReservePart;
  return Others < Usable && Bytes <= (Usable - Others) / PartOfFree;
}

bool intake_account::giveWay(intake_share *Chosen) {
  if (Chosen == nullptr)
    return false;
  ++GaveWay;
  Chosen->endReceiving();
  Chosen->set(0);
  Chosen->GaveWay = true;
  Chosen->OnGiveWay();
  return true;
}

bool intake_account::makeRoom(const intake_share &For, mono_time Now) {
  intake_share *Chosen = nullptr;
  double Most = 0;
  for (intake_share *Share : Receiving) {
    const mono_duration Stalled = Share->stalledFor(Now);
    const double Cost = static_cast<double>(Share->Held) * static_cast<double>(Stalled.count());
    if (Share == &For || Stalled < MaxStall || Cost <= Most)
      continue;
    Chosen = Share;
    Most = Cost;
  }
  return giveWay(Chosen);
}

bool intake_account::freeConnection(mono_time Now) {
  const auto Longest =
      std::min_element(Receiving.begin(), Receiving.end(), [](const auto *A, const auto *B) {
        return A->LastProgress < B->LastProgress;
      });
  const bool IsStalled = Longest != Receiving.end() && (*Longest)->stalledFor(Now) >= MaxStall;
  return giveWay(IsStalled ? *Longest : nullptr);
}

intake_share::intake_share(intake_account &Shared, give_way_hook EndReception,
                           std::size_t FixedBytes)
    : Account(Shared), OnGiveWay(std::move(EndReception)), Fixed(FixedBytes) {
  Account.Used += Fixed;
  Account.Fixed += Fixed;
}

intake_share::~intake_share() {
  endReceiving();
  set(0);
  Account.Used -= Fixed;
  Account.Fixed -= Fixed;
}

void intake_share::set(std::size_t Bytes) {
  Account.Used += Bytes;
  Account.Used -= Held;
  Held = Bytes;
}

void intake_share::beginReceiving(mono_time Now) {
  endReceiving();
  Position = Account.Receiving.insert(Account.Receiving.end(), this);
  IsReceiving = true;
  LastProgress = Now;
  BytesAtProgress = 0;
}

void intake_share::endReceiving() {
  if (std::exchange(IsReceiving, false))
    Account.Receiving.erase(Position);
}

bool intake_share::mayHold(std::size_t Bytes, mono_time Now) {
  while (Bytes > Held && !Account.fitsBeside(Account.Used - Held, Bytes))
    if (!Account.makeRoom(*this, Now))
      return false;
  return true;
}

bool intake_share::resize(std::size_t Bytes, mono_time Now) {
  if (GaveWay || !mayHold(Bytes, Now))
    return false;
  set(Bytes);
  if (Bytes >= BytesAtProgress + ProgressBytes) {
    BytesAtProgress = Bytes;
    LastProgress = Now;
  }
  return true;
}

void intake_share::settle(std::size_t Bytes) {
  endReceiving();
  set(Bytes);
}

} // namespace pollenstall
