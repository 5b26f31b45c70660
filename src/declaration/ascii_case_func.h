/** @file ascii_case_func.h Letter case as HTTP uses it: ASCII only, no locale. */
#ifndef POLLENSTALL_DECLARATION_ASCII_CASE_FUNC_H
#define POLLENSTALL_DECLARATION_ASCII_CASE_FUNC_H

#include <algorithm>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The character in lower case where it is an ASCII letter.
constexpr char asciiLower(char Character) {
  return Character >= 'A' && Character <= 'Z' ? static_cast<char>(Character - 'A' + 'a')
                                              : Character;
}

/// @return The character in upper case where it is an ASCII letter.
constexpr char asciiUpper(char Character) {
  return Character >= 'a' && Character <= 'z' ? static_cast<char>(Character - 'a' + 'A')
                                              : Character;
}

/// @return The text in lower case.
inline std::string asciiLower(std::string_view Text) {
  std::string Lower(Text);
  for (char &Character : Lower)
    Character = asciiLower(Character);
  return Lower;
}

/// @return The text in upper case.
inline std::string asciiUpper(std::string_view Text) {
  std::string Upper(Text);
  for (char &Character : Upper)
    Character = asciiUpper(Character);
  return Upper;
}

/// @return Whether the texts are the same but for the case of letters.
inline bool equalWithoutCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](char X, char Y) { return asciiLower(X) == asciiLower(Y); });
}

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_ASCII_CASE_FUNC_H
