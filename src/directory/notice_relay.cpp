/** @file notice_relay.cpp Batches of notices and their receipts. */
#include "directory/notice_relay_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace {

/// Returns whether the leader's list would stay the same after the notice.
bool changesNothing(const backend_notice &Notice, const backend_listing *Recorded) {
  return Recorded != nullptr && !Notice.Leaving && Recorded->State == listing_state::Active &&
         Recorded->Started == Notice.Started && Recorded->Key.Address == Notice.Address;
}

} // namespace

bool notice_relay::reachesLeader(mono_time Now) const {
  return ConfirmedSentAt && Now - *ConfirmedSentAt < Options.ReceiptTimeout;
}

bool notice_relay::accept(const backend_notice &Notice, const backend_listing *Recorded,
                          mono_time Now) {
  if (!reachesLeader(Now) || Pending.size() >= Options.MaxPending ||
      !changesNothing(Notice, Recorded))
    return false;
  Pending.push_back({{Notice.Instance, Notice.Started}, Notice.Sequence});
  return true;
}

std::optional<relayed_batch> notice_relay::takeBatch(mono_time Now) {
  const mono_duration Interval =
      Pending.empty() ? Options.EmptyBatchInterval : Options.BatchInterval;
  if (LastSentAt && Now - *LastSentAt < Interval)
    return std::nullopt;
  LastSentAt = Now;
  std::erase_if(SentAt, [&](const auto &Sent) {
    return Now - Sent.second >= Options.ReceiptTimeout; // Its receipt would no longer count.
  });
  SentAt.emplace(++LastNumber, Now);
  return relayed_batch{LastNumber, std::exchange(Pending, {})};
}

void notice_relay::handleReceipt(std::uint64_t Number) {
  const auto Sent = SentAt.find(Number);
  if (Sent == SentAt.end())
    return;
  ConfirmedSentAt = std::max(ConfirmedSentAt.value_or(Sent->second), Sent->second);
  SentAt.erase(SentAt.begin(), std::next(Sent));
}

void notice_relay::leaderChanged() {
  SentAt.clear();
  ConfirmedSentAt.reset();
  LastSentAt.reset();
}

} // namespace pollenstall
