/** @file text_difference_type.h Steps that make a text out of an older one. */
#ifndef POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_TYPE_H
#define POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// Appends part of the old text, then text of its own.
struct difference_step {
  std::uint32_t CopyOffset{0}; ///< Byte of the old text.
  std::uint32_t CopyBytes{0};  ///< Copied from there; 0 copies nothing.
  std::string Inserted;

  bool operator==(const difference_step &) const = default;
};

/// Makes the new text out of the old one. The hashes tell a base that is not the one meant.
struct text_difference {
  std::uint64_t OldHash{0};
  std::uint64_t NewHash{0};
  std::vector<difference_step> Steps;

  bool operator==(const text_difference &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_TYPE_H
