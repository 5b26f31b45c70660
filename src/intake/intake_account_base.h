/** @file intake_account_base.h Shares memory among messages that are being received. */
#ifndef POLLENSTALL_INTAKE_INTAKE_ACCOUNT_BASE_H
#define POLLENSTALL_INTAKE_INTAKE_ACCOUNT_BASE_H

#include "core/core.h"

#include <cstddef>
#include <functional>
#include <list>

namespace pollenstall {

class intake_share;

/**
 * The memory of all messages that peers send: those that are being received, and those that wait
 * for their answer. Peers decide how many connections they open and what they send, so each message
 * takes memory only as it arrives. A message may take a part of what is free, and large ones leave
 * a reserve to small ones.
 *
 * When the memory is used up, a message that has stopped arriving gives way: the one that has held
 * most memory for the longest time without progress. Without this, callers that stop just short of
 * the end of their message would keep all others out until their timeout.
 *
 * For use by one thread at a time.
 */
class intake_account {
public:
  /// @param Bytes What all messages may hold together.
  explicit intake_account(std::size_t Bytes) : Limit(Bytes) {}
  intake_account(const intake_account &) = delete;
  intake_account &operator=(const intake_account &) = delete;

  [[nodiscard]] std::size_t used() const { return Used; }
  /// @return What messages hold, without what connections take by themselves.
  [[nodiscard]] std::size_t messageBytes() const { return Used - Fixed; }
  /// @return The number of messages that have given way.
  [[nodiscard]] std::size_t gaveWay() const { return GaveWay; }
  /// @return Whether one more message of this size may be held now, without any giving way.
  [[nodiscard]] bool fits(std::size_t Bytes) const { return fitsBeside(Used, Bytes); }
  /// Lets a connection give way that makes no progress, whether it holds memory or not.
  /// @return Whether there was one.
  bool freeConnection(mono_time Now);

private:
  friend class intake_share;
  using share_list = std::list<intake_share *>;

  [[nodiscard]] bool fitsBeside(std::size_t Others, std::size_t Bytes) const;
  /// @return Whether another message gave way.
  bool makeRoom(const intake_share &For, mono_time Now);
  bool giveWay(intake_share *Chosen);

  std::size_t Limit;
  std::size_t Used{0};
  std::size_t Fixed{0}; ///< Part of Used that does not depend on messages.
  std::size_t GaveWay{0};
  share_list Receiving; ///< Messages that are being received.
};

/// What one message or connection holds of the account; returned by the destructor.
class intake_share {
public:
  using give_way_hook = std::function<void()>;

  /// @param EndReception Called when the message must give way; it has no memory from then on.
  /// @param FixedBytes Held from the beginning to the end, beside the message.
  intake_share(intake_account &Shared, give_way_hook EndReception, std::size_t FixedBytes = 0);
  intake_share(const intake_share &) = delete;
  intake_share &operator=(const intake_share &) = delete;
  ~intake_share();

  /// Begins to wait for a message, or for the next one.
  void beginReceiving(mono_time Now);
  /// @return Whether the message may hold so much, now that others that have stopped gave way.
  bool mayHold(std::size_t Bytes, mono_time Now);
  /// Sets how much the message holds now, as more of it arrives.
  /// @return False if there is no memory for it; the message must be given up.
  bool resize(std::size_t Bytes, mono_time Now);
  /// Records that the message is complete: it no longer gives way. @param Bytes What it holds.
  void settle(std::size_t Bytes);

  /// @return Whether the message had to give way.
  [[nodiscard]] bool gaveWay() const { return GaveWay; }

private:
  friend class intake_account;
  [[nodiscard]] mono_duration stalledFor(mono_time Now) const { return Now - LastProgress; }
  void set(std::size_t Bytes);
  void endReceiving();

  intake_account &Account;
  give_way_hook OnGiveWay;
  std::size_t Fixed;
  std::size_t Held{0};
  std::size_t BytesAtProgress{0};
  mono_time LastProgress;
  intake_account::share_list::iterator Position{Account.Receiving.end()};
  bool IsReceiving{false};
  bool GaveWay{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_INTAKE_INTAKE_ACCOUNT_BASE_H
