/** @file memory_account_type.h The memory that the answers of all backend servers share. */
#ifndef POLLENSTALL_RELAY_MEMORY_ACCOUNT_TYPE_H
#define POLLENSTALL_RELAY_MEMORY_ACCOUNT_TYPE_H

#include <cstddef>

namespace pollenstall {

/**
 * Counts the bytes of answers that wait for their rest before they can be relayed. Each answer may
 * hold a part of what is free. A server that sends without end is thus cut off before the memory
 * is used up, however many of its answers there are, and small answers still fit.
 */
class memory_account {
public:
  /// @param Bytes What all shares together may hold.
  explicit memory_account(std::size_t Bytes) : Limit(Bytes) {}

  [[nodiscard]] std::size_t used() const { return Used; }
  /// @return What one answer may hold now, in bytes.
  [[nodiscard]] std::size_t largestShare() const {
    constexpr std::size_t PartOfFree = 8;
    return Used < Limit ? (Limit - Used) / PartOfFree : 0;
  }

private:
  friend class memory_share;
  std::size_t Limit;
  std::size_t Used{0};
};

/// What one answer holds of the account; returned by the destructor.
class memory_share {
public:
  explicit memory_share(memory_account &Shared) : Account(Shared) {}
  memory_share(const memory_share &) = delete;
  memory_share &operator=(const memory_share &) = delete;
  ~memory_share() { resize(0); }

  /// Records how much the answer holds now. @return Whether it may hold so much.
  bool resize(std::size_t Bytes) {
    Account.Used += Bytes;
    Account.Used -= Held;
    Held = Bytes;
    return Bytes <= Account.largestShare();
  }

private:
  memory_account &Account;
  std::size_t Held{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_MEMORY_ACCOUNT_TYPE_H
