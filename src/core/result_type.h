/** @file result_type.h A value or an error of a type that the called library defines. */
#ifndef POLLENSTALL_CORE_RESULT_TYPE_H
#define POLLENSTALL_CORE_RESULT_TYPE_H

#include <utility>
#include <variant>

namespace pollenstall {

/// The value of a successful result that carries no data.
struct done {
  auto operator<=>(const done &) const = default;
};

/// Either a value or an error, as std::variant; the called library defines the type of the error.
template <typename Value, typename Error> using result = std::variant<Value, Error>;

/// @return Whether the result holds a value.
template <typename Value, typename Error>
[[nodiscard]] bool succeeded(const result<Value, Error> &Result) {
  return Result.index() == 0;
}

/// @return The value; the caller must have checked succeeded().
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

/// @return The error; the caller must have checked that succeeded() is false.
template <typename Value, typename Error>
[[nodiscard]] const Error &errorOf(const result<Value, Error> &Result) {
  return std::get<1>(Result);
}

/// Combines lambdas into one visitor for std::visit.
template <typename... Handlers> struct overloaded : Handlers... { using Handlers::operator()...; };
template <typename... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace pollenstall

#endif // POLLENSTALL_CORE_RESULT_TYPE_H
