/** @file toml_write.cpp Formats TOML values. */
#include "toml_text/toml_write_func.h"

#include <array>
#include <charconv>

namespace pollenstall {

namespace {

constexpr std::string_view HexDigits = "0123456789ABCDEF";
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7F;
constexpr unsigned int HighDigit = 4;
constexpr unsigned int LowDigitMask = 0xF;
constexpr std::size_t LongestDouble = 32;

void appendEscaped(std::string &Quoted, char Character) {
  const auto Byte = static_cast<unsigned char>(Character);
  if (Character == '"' || Character == '\\') {
    Quoted += '\\';
    Quoted += Character;
  } else if (Byte < FirstPrintable || Byte == Delete) {
    Quoted += "\\u00";
    Quoted += HexDigits[Byte >> HighDigit];
    Quoted += HexDigits[Byte & LowDigitMask];
  } else {
    Quoted += Character;
  }
}

} // namespace

std::string tomlQuote(std::string_view Text) {
  std::string Quoted = "\"";
  for (const char Character : Text)
    appendEscaped(Quoted, Character);
  return Quoted + "\"";
}

std::string tomlNumber(double Value) {
  std::array<char, LongestDouble> Buffer{};
  const auto Written = std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Value);
  return {Buffer.data(), Written.ptr};
}

std::string tomlList(const std::vector<std::string> &Items) {
  std::string Text;
  for (const std::string &Item : Items)
    Text += (Text.empty() ? "" : ", ") + Item;
  return "[" + Text + "]";
}

} // namespace pollenstall
