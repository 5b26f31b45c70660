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
  body_reservation(std::size_t &Total, std::size_t Size) : TotalBytes(&Total), OwnBytes(Size) {
    *TotalBytes += OwnBytes;
  }
  body_reservation(body_reservation &&Other) noexcept
      : TotalBytes(Other.TotalBytes), OwnBytes(std::exchange(Other.OwnBytes, 0)) {}
  body_reservation &operator=(body_reservation &&) = delete;
  ~body_reservation() { *TotalBytes -= OwnBytes; }

  /// Changes the share to the body's actual size.
  void resize(std::size_t Size) {
    *TotalBytes += Size;
    *TotalBytes -= OwnBytes;
    OwnBytes = Size;
  }

private:
  std::size_t *TotalBytes;
  std::size_t OwnBytes;
};

/// The only copy of a body in this process.
struct request_body {
  std::string Text;
  body_reservation Share;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_REQUEST_BODY_TYPE_H
