/** @file bounded_archive.h A cereal input archive that never believes a length. */
#ifndef POLLENSTALL_WIRE_BOUNDED_ARCHIVE_H
#define POLLENSTALL_WIRE_BOUNDED_ARCHIVE_H

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstring>
#include <span>
#include <string>
#include <type_traits>

namespace pollenstall {

/// Thrown inside decoding only; decodeBounded() turns it into a wire_error.
class truncated_message : public cereal::Exception {
public:
  truncated_message() : cereal::Exception("message ends inside a value") {}
};

/**
 * Reads little-endian values from a span.
 * cereal's containers resize to the count they read; a forged count would make the process allocate
 * gigabytes for a datagram of twenty bytes. Every element takes at least a byte, so a count above
 * the bytes that are left is refused before anything is resized.
 */
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
public:
  explicit bounded_input_archive(std::span<const char> Bytes)
      : cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>(this),
        Left(Bytes) {}

  /// @return Bytes not read yet.
  [[nodiscard]] std::size_t left() const { return Left.size(); }

  /// Copies so many bytes out, or throws truncated_message.
  void loadBytes(void *Into, std::size_t Count) {
    if (Count > Left.size())
      throw truncated_message();
    if (Count > 0)
      std::memcpy(Into, Left.data(), Count);
    Left = Left.subspan(Count);
  }

  /// Throws truncated_message where so many elements cannot be left.
  void checkCount(cereal::size_type Count) const {
    if (Count > Left.size())
      throw truncated_message();
  }

private:
  std::span<const char> Left;
};

/// Writes little-endian values to a string.
class string_output_archive
    : public cereal::OutputArchive<string_output_archive, cereal::AllowEmptyClassElision> {
public:
  explicit string_output_archive(std::string &Into)
      : cereal::OutputArchive<string_output_archive, cereal::AllowEmptyClassElision>(this),
        Out(Into) {}

  void saveBytes(const void *From, std::size_t Count) {
    Out.append(static_cast<const char *>(From), Count);
  }

private:
  std::string &Out;
};

// The functions below are found by cereal through their names.

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &Archive,
                                                                    T &Value) {
  Archive.loadBytes(std::addressof(Value), sizeof(Value));
}

/// A bool of any other byte than 0 or 1 would be undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &Archive, bool &Value) {
  std::uint8_t Byte = 0;
  Archive.loadBytes(&Byte, sizeof(Byte));
  Value = Byte != 0;
}

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(string_output_archive &Archive,
                                                                    const T &Value) {
  Archive.saveBytes(std::addressof(Value), sizeof(Value));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &Archive, cereal::SizeTag<T> &Tag) {
  Archive(Tag.size);
  Archive.checkCount(Tag.size);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive &Archive, const cereal::SizeTag<T> &Tag) {
  Archive(Tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &Archive, cereal::BinaryData<T> &Data) {
  Archive.loadBytes(Data.data, static_cast<std::size_t>(Data.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive &Archive, const cereal::BinaryData<T> &Data) {
  Archive.saveBytes(Data.data, static_cast<std::size_t>(Data.size));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive &Archive,
                                    cereal::NameValuePair<T> &Pair) {
  Archive(Pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(string_output_archive &Archive,
                                    cereal::NameValuePair<T> &Pair) {
  Archive(Pair.value);
}

} // namespace pollenstall

CEREAL_REGISTER_ARCHIVE(pollenstall::bounded_input_archive)
CEREAL_REGISTER_ARCHIVE(pollenstall::string_output_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(pollenstall::bounded_input_archive, pollenstall::string_output_archive)

#endif // POLLENSTALL_WIRE_BOUNDED_ARCHIVE_H
