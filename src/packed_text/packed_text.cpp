/** @file packed_text.cpp Compresses and decompresses texts with zlib. */
#include "packed_text/packed_text_func.h"

#include "core/core.h"

#include <zlib.h>

namespace pollenstall {

packed_text pack(std::string_view Text) {
  packed_text Packed{static_cast<std::uint32_t>(Text.size()), std::string()};
  uLongf Length = compressBound(static_cast<uLong>(Text.size()));
  Packed.Compressed.resize(Length);
  const int Result = compress2(reinterpret_cast<Bytef *>(Packed.Compressed.data()), &Length,
                               reinterpret_cast<const Bytef *>(Text.data()),
                               static_cast<uLong>(Text.size()), Z_BEST_SPEED);
  requireInvariant(Result == Z_OK, "a text always fits into compressBound() bytes");
  Packed.Compressed.resize(Length);
  return Packed;
}

std::optional<std::string> unpack(const packed_text &Packed, std::size_t MaxBytes) {
  if (Packed.UncompressedSize > MaxBytes)
    return std::nullopt;
  std::string Text(Packed.UncompressedSize, '\0');
  uLongf Length = Packed.UncompressedSize;
  // zlib rejects a null output pointer even if there is nothing to write.
  Bytef EmptyOutput = 0;
  const int Result =
      uncompress(Text.empty() ? &EmptyOutput : reinterpret_cast<Bytef *>(Text.data()), &Length,
                 reinterpret_cast<const Bytef *>(Packed.Compressed.data()),
                 static_cast<uLong>(Packed.Compressed.size()));
  if (Result != Z_OK || Length != Packed.UncompressedSize)
    return std::nullopt;
  return Text;
}

} // namespace pollenstall
