/** @file strong_type.h Distinct types for numbers and strings, so that ids and units do not mix. */
#ifndef POLLENSTALL_CORE_STRONG_TYPE_H
#define POLLENSTALL_CORE_STRONG_TYPE_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace pollenstall {

/**
 * A number used as an id; ids with different tags do not convert to each other.
 * @tparam Tag An empty struct that names the kind of id.
 */
template <typename Tag, typename Rep = std::uint64_t> class strong_id {
public:
  using rep = Rep;

  constexpr strong_id() = default;
  constexpr explicit strong_id(Rep Value) : Number(Value) {}

  /// @return The plain number, for storage and display.
  [[nodiscard]] constexpr Rep value() const { return Number; }
  /// @return The id after this one.
  [[nodiscard]] constexpr strong_id next() const { return strong_id(Number + 1); }

  constexpr auto operator<=>(const strong_id &) const = default;

private:
  Rep Number{};
};

/**
 * An amount of one unit; adds to and compares with amounts of the same unit only.
 * @tparam Tag An empty struct that names the unit.
 */
template <typename Tag, typename Rep = std::int64_t> class strong_amount {
public:
  using rep = Rep;

  constexpr strong_amount() = default;
  constexpr explicit strong_amount(Rep Value) : Number(Value) {}

  /// @return The plain number, for arithmetic across units and for display.
  [[nodiscard]] constexpr Rep value() const { return Number; }

  constexpr strong_amount &operator+=(strong_amount Other) {
    Number += Other.Number;
    return *this;
  }
  constexpr strong_amount &operator-=(strong_amount Other) {
    Number -= Other.Number;
    return *this;
  }
  friend constexpr strong_amount operator+(strong_amount Left, strong_amount Right) {
    return Left += Right;
  }
  friend constexpr strong_amount operator-(strong_amount Left, strong_amount Right) {
    return Left -= Right;
  }

  constexpr auto operator<=>(const strong_amount &) const = default;

private:
  Rep Number{};
};

/**
 * A name, for example of a host, an account or a model. It compares and hashes as a string and
 * does not convert to names of another kind.
 * @tparam Tag An empty struct that names the kind of name.
 */
template <typename Tag> class strong_text {
public:
  strong_text() = default;
  explicit strong_text(std::string Value) : Text(std::move(Value)) {}

  /// @return The plain string.
  [[nodiscard]] const std::string &str() const { return Text; }
  /// @return Whether no name is set.
  [[nodiscard]] bool empty() const { return Text.empty(); }

  auto operator<=>(const strong_text &) const = default;

private:
  std::string Text;
};

template <typename Tag, typename Rep>
std::ostream &operator<<(std::ostream &Out, const strong_id<Tag, Rep> &Id) {
  return Out << +Id.value();
}
template <typename Tag, typename Rep>
std::ostream &operator<<(std::ostream &Out, const strong_amount<Tag, Rep> &Amount) {
  return Out << +Amount.value();
}
template <typename Tag> std::ostream &operator<<(std::ostream &Out, const strong_text<Tag> &Name) {
  return Out << Name.str();
}

} // namespace pollenstall

template <typename Tag, typename Rep> struct std::hash<pollenstall::strong_id<Tag, Rep>> {
  std::size_t operator()(const pollenstall::strong_id<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>{}(Id.value());
  }
};

template <typename Tag> struct std::hash<pollenstall::strong_text<Tag>> {
  std::size_t operator()(const pollenstall::strong_text<Tag> &Name) const noexcept {
    return std::hash<std::string>{}(Name.str());
  }
};

#endif // POLLENSTALL_CORE_STRONG_TYPE_H
