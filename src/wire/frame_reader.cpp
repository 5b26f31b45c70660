/** @file frame_reader.cpp Encodes and decodes frames with a length prefix of 4 bytes. */
#include "wire/frame_reader_base.h"

#include <cstdint>

namespace pollenstall {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr unsigned BitsPerByte = 8;
constexpr std::size_t CompactionThreshold = 64U << 10U;

std::uint32_t decodeLength(std::string_view Bytes) {
  std::uint32_t Length = 0;
  for (std::size_t Index = 0; Index < LengthBytes; ++Index)
    Length |= std::uint32_t(static_cast<unsigned char>(Bytes[Index])) << (BitsPerByte * Index);
  return Length;
}

} // namespace

std::string encodeFrame(std::string_view Message) {
  std::string Frame;
  Frame.reserve(LengthBytes + Message.size());
  const auto Length = static_cast<std::uint32_t>(Message.size());
  for (std::size_t Index = 0; Index < LengthBytes; ++Index)
    Frame.push_back(static_cast<char>((Length >> (BitsPerByte * Index)) & 0xFFU));
  Frame.append(Message);
  return Frame;
}

result<std::optional<std::string>, wire_error> frame_reader::next() {
  const std::string_view Unread = std::string_view(Buffer).substr(ConsumedBytes);
  if (Unread.size() < LengthBytes)
    return std::optional<std::string>{};
  const std::size_t Length = decodeLength(Unread);
  if (Length > MaxBytes)
    return wire_error::TooLarge;
  if (Unread.size() < LengthBytes + Length)
    return std::optional<std::string>{};
  std::optional<std::string> Message(Unread.substr(LengthBytes, Length));
  ConsumedBytes += LengthBytes + Length;
  if (ConsumedBytes >= CompactionThreshold || ConsumedBytes == Buffer.size()) {
    Buffer.erase(0, ConsumedBytes);
    ConsumedBytes = 0;
  }
  return Message;
}

} // namespace pollenstall
