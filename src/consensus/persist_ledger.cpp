/** @file persist_ledger.cpp What was handed to the disk and what the disk has confirmed. */
#include "consensus/persist_ledger_base.h"

#include <algorithm>

namespace pollenstall {

persist_log &persist_ledger::open() {
  if (!Open) {
    LastNumber = LastNumber.next();
    Open.emplace();
    Open->Number = LastNumber;
    Unconfirmed.push_back({LastNumber, log_index()});
  }
  return *Open;
}

void persist_ledger::seal() {
  if (!Open)
    return;
  Sealed.push_back(std::move(*Open));
  Open.reset();
}

void persist_ledger::clamp(log_index Last) {
  Durable = std::min(Durable, Last);
  for (pending_write &Write : Unconfirmed)
    Write.LastIndex = std::min(Write.LastIndex, Last);
}

void persist_ledger::hardState(const hard_state &Hard) {
  open().Hard = Hard;
  HardNumber = LastNumber;
}

void persist_ledger::append(const log_entry &Entry) {
  open().Entries.push_back(Entry);
  Unconfirmed.back().LastIndex = Entry.Index;
}

void persist_ledger::truncateFrom(log_index Index) {
  if (Open && !Open->Entries.empty())
    seal();
  clamp(log_index(Index.value() - 1));
  persist_log &Write = open();
  Write.TruncateFrom = std::min(Write.TruncateFrom.value_or(Index), Index);
}

void persist_ledger::storeSnapshot(std::shared_ptr<const log_snapshot> Snapshot,
                                   log_index CompactTo) {
  seal();
  persist_log &Write = open();
  Write.Snapshot = std::move(Snapshot);
  Write.CompactTo = CompactTo;
}

void persist_ledger::resetTo(std::shared_ptr<const log_snapshot> Snapshot) {
  seal();
  clamp(log_index());
  persist_log &Write = open();
  Write.CompactTo = Snapshot->Index;
  Write.ResetLog = true;
  Unconfirmed.back().LastIndex = Snapshot->Index;
  Write.Snapshot = std::move(Snapshot);
}

void persist_ledger::flush(std::vector<consensus_action> &Actions) {
  seal();
  for (persist_log &Write : Sealed)
    Actions.emplace_back(std::move(Write));
  Sealed.clear();
}

void persist_ledger::confirm(persist_number Number) {
  requireInvariant(Number <= LastNumber && !(Open && Number == LastNumber),
                   "only what was handed out is confirmed");
  Confirmed = std::max(Confirmed, Number);
  while (!Unconfirmed.empty() && Unconfirmed.front().Number <= Number) {
    Durable = std::max(Durable, Unconfirmed.front().LastIndex);
    Unconfirmed.pop_front();
  }
}

persist_number persist_ledger::coversAll() const { return LastNumber; }

} // namespace pollenstall
