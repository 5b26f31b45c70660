/** @file request_body_type.h A request's body and its share of the body memory. */
#ifndef POLLENSTALL_RELAY_REQUEST_BODY_TYPE_H
#define POLLENSTALL_RELAY_REQUEST_BODY_TYPE_H

#include <cstddef>
#include <string>
#include <utility>

namespace pollenstall {

/// A share of the memory for bodies; released by the destructor.
class body_reservation {
public:
  body_reservation(std::size_t &Total, std::size_t Size) : Held(&Total), Bytes(Size) {
    *Held += Bytes;
  }
  body_reservation(body_reservation &&Other) noexcept
      : Held(Other.Held), Bytes(std::exchange(Other.Bytes, 0)) {}
  body_reservation &operator=(body_reservation &&) = delete;
  ~body_reservation() { *Held -= Bytes; }

  /// Changes the share to the body's actual size.
  void resize(std::size_t Size) {
    *Held += Size;
    *Held -= Bytes;
    Bytes = Size;
  }

private:
  std::size_t *Held;
  std::size_t Bytes;
};

/// The only copy of a body in this process.
struct request_body {
  std::string Text;
  body_reservation Share;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_REQUEST_BODY_TYPE_H
