/** @file held_body_type.h A request's body, counted for as long as it is held. */
#ifndef POLLENSTALL_RELAY_HELD_BODY_TYPE_H
#define POLLENSTALL_RELAY_HELD_BODY_TYPE_H

#include <cstddef>
#include <string>
#include <utility>

namespace pollenstall {

/// A part of the memory for bodies; given back at the end of its life.
class body_share {
public:
  body_share(std::size_t &Total, std::size_t Size) : Held(&Total), Bytes(Size) { *Held += Bytes; }
  body_share(body_share &&Other) noexcept
      : Held(Other.Held), Bytes(std::exchange(Other.Bytes, 0)) {}
  body_share &operator=(body_share &&) = delete;
  ~body_share() { *Held -= Bytes; }

  /// Makes the share as large as the body turned out to be.
  void resize(std::size_t Size) {
    *Held += Size;
    *Held -= Bytes;
    Bytes = Size;
  }

private:
  std::size_t *Held;
  std::size_t Bytes;
};

/// The one copy of a body in this process.
struct held_body {
  std::string Text;
  body_share Share;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_HELD_BODY_TYPE_H
