/** @file result_type.h A value or a layer's own error, as std::variant. */
#ifndef POLLENSTALL_CORE_RESULT_TYPE_H
#define POLLENSTALL_CORE_RESULT_TYPE_H

#include <utility>
#include <variant>

namespace pollenstall {

/// Stands for success where there is nothing to hand back.
struct done {
  auto operator<=>(const done &) const = default;
};

/// Either a value or the error of the layer that was asked.
template <typename Value, typename Error> using result = std::variant<Value, Error>;

/// @return Whether the result holds a value.
template <typename Value, typename Error>
[[nodiscard]] bool succeeded(const result<Value, Error> &Result) {
  return Result.index() == 0;
}

/// @return The value; the caller has checked succeeded().
template <typename Value, typename Error>
[[nodiscard]] Value &valueOf(result<Value, Error> &Result) {
  return std::get<0>(Result);
}
template <typename Value, typename Error>
[[nodiscard]] const Value &valueOf(const result<Value, Error> &Result) {
  return std::get<0>(Result);
}
template <typename Value, typename Error>
[[nodiscard]] Value valueOf(result<Value, Error> &&Result) {
  return std::get<0>(std::move(Result));
}

/// @return The error; the caller has checked that succeeded() is false.
template <typename Value, typename Error>
[[nodiscard]] const Error &errorOf(const result<Value, Error> &Result) {
  return std::get<1>(Result);
}

/// Joins lambdas into one visitor for std::visit.
template <typename... Handlers> struct overloaded : Handlers... { using Handlers::operator()...; };
template <typename... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace pollenstall

#endif // POLLENSTALL_CORE_RESULT_TYPE_H
