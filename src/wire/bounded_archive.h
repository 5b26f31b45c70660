/** @file bounded_archive.h A cereal input archive that checks every length before it allocates. */
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

/// Thrown only while decoding; catchDecodingErrors() converts it to a wire_error.
class truncated_message : public cereal::Exception {
public:
  truncated_message() : cereal::Exception("message ends inside a value") {}
};

/**
 * Reads little-endian values from a span.
 * cereal resizes a container to the count it reads, so a forged count in a datagram of 20 bytes
 * could allocate gigabytes. Every element takes at least one byte, so a count greater than the
 * number of remaining bytes is rejected before any container is resized.
 */
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
public:
  explicit bounded_input_archive(std::span<const char> Bytes)
      : cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>(this),
        Remaining(Bytes) {}

  /// @return The number of bytes not read yet.
  [[nodiscard]] std::size_t remaining() const { return Remaining.size(); }

  /// Reads Count bytes into Buffer. Throws truncated_message if fewer remain.
  void loadBytes(void *Buffer, std::size_t Count) {
    if (Count > Remaining.size())
      throw truncated_message();
    if (Count > 0)
      std::memcpy(Buffer, Remaining.data(), Count);
    Remaining = Remaining.subspan(Count);
  }

  /// Throws truncated_message if fewer than Count bytes remain.
  void checkCount(cereal::size_type Count) const {
    if (Count > Remaining.size())
      throw truncated_message();
  }

private:
  std::span<const char> Remaining;
};

/// Writes little-endian values to a string.
class string_output_archive
    : public cereal::OutputArchive<string_output_archive, cereal::AllowEmptyClassElision> {
public:
  explicit string_output_archive(std::string &Output)
      : cereal::OutputArchive<string_output_archive, cereal::AllowEmptyClassElision>(this),
        Target(Output) {}

  void saveBytes(const void *Source, std::size_t Count) {
    Target.append(static_cast<const char *>(Source), Count);
  }

private:
  std::string &Target;
};

// cereal finds the functions below by name.

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &Archive,
                                                                    T &Value) {
  Archive.loadBytes(std::addressof(Value), sizeof(Value));
}

/// Reads any non-zero byte as true; a bool with another byte than 0 or 1 is undefined behaviour.
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
