/** @file text_difference_type.h Steps that turn an old text into a new one. */
#ifndef POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_TYPE_H
#define POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// Appends a part of the old text, then inserted text.
struct difference_step {
  std::uint32_t CopyOffset{0}; ///< Byte offset in the old text.
  std::uint32_t CopyBytes{0};  ///< Bytes copied from there; 0 copies nothing.
  std::string Inserted;

  bool operator==(const difference_step &) const = default;
};

/// Steps from an old text to a new one. The hashes detect a base that the steps were not made for.
struct text_difference {
  std::uint64_t OldHash{0};
  std::uint64_t NewHash{0};
  std::vector<difference_step> Steps;

  bool operator==(const text_difference &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_TYPE_H
