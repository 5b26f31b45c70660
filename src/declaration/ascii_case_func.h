/** @file ascii_case_func.h Converts and compares letter case in ASCII, independent of the locale,
 * as HTTP does. */
#ifndef POLLENSTALL_DECLARATION_ASCII_CASE_FUNC_H
#define POLLENSTALL_DECLARATION_ASCII_CASE_FUNC_H

#include <algorithm>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The lower-case form of an ASCII letter; any other character unchanged.
constexpr char asciiLower(char Character) {
  return Character >= 'A' && Character <= 'Z' ? static_cast<char>(Character - 'A' + 'a')
                                              : Character;
}

/// @return The upper-case form of an ASCII letter; any other character unchanged.
constexpr char asciiUpper(char Character) {
  return Character >= 'a' && Character <= 'z' ? static_cast<char>(Character - 'a' + 'A')
                                              : Character;
}

/// @return The text with its ASCII letters in lower case.
inline std::string asciiLower(std::string_view Text) {
  std::string Lower(Text);
  for (char &Character : Lower)
    Character = asciiLower(Character);
  return Lower;
}

/// @return The text with its ASCII letters in upper case.
inline std::string asciiUpper(std::string_view Text) {
  std::string Upper(Text);
  for (char &Character : Upper)
    Character = asciiUpper(Character);
  return Upper;
}

/// @return Whether the texts are equal if the case of ASCII letters is ignored.
inline bool equalIgnoringCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](char X, char Y) { return asciiLower(X) == asciiLower(Y); });
}

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_ASCII_CASE_FUNC_H
