/** @file core_codec_func.h cereal serialization of the types of core. */
#ifndef POLLENSTALL_WIRE_CORE_CODEC_FUNC_H
#define POLLENSTALL_WIRE_CORE_CODEC_FUNC_H

#include "core/core.h"
#include "wire/bounded_archive.h"

#include <string>

namespace pollenstall {

template <typename Archive, typename Tag, typename Rep>
Rep save_minimal(const Archive &, const strong_id<Tag, Rep> &Id) {
  return Id.value();
}
template <typename Archive, typename Tag, typename Rep>
void load_minimal(const Archive &, strong_id<Tag, Rep> &Id,
                  const typename strong_id<Tag, Rep>::rep &Value) {
  Id = strong_id<Tag, Rep>(Value);
}

template <typename Archive, typename Tag, typename Rep>
Rep save_minimal(const Archive &, const strong_amount<Tag, Rep> &Amount) {
  return Amount.value();
}
template <typename Archive, typename Tag, typename Rep>
void load_minimal(const Archive &, strong_amount<Tag, Rep> &Amount,
                  const typename strong_amount<Tag, Rep>::rep &Value) {
  Amount = strong_amount<Tag, Rep>(Value);
}

template <typename Archive, typename Tag>
std::string save_minimal(const Archive &, const strong_text<Tag> &Name) {
  return Name.str();
}
template <typename Archive, typename Tag>
void load_minimal(const Archive &, strong_text<Tag> &Name, const std::string &Value) {
  Name = strong_text<Tag>(Value);
}

template <typename Archive> void serialize(Archive &Into, backend_key &Key) {
  Into(Key.Address, Key.Incarnation);
}
template <typename Archive> void serialize(Archive &Into, process_key &Key) {
  Into(Key.Host, Key.Incarnation);
}
template <typename Archive> void serialize(Archive &Into, attempt_id &Attempt) {
  Into(Attempt.Owner, Attempt.Request, Attempt.Ordinal);
}

} // namespace pollenstall

#endif // POLLENSTALL_WIRE_CORE_CODEC_FUNC_H
