/** @file request_path.cpp Decodes percent-encoding and resolves dot segments (RFC 3986, 5.2.4
 * and 6.2.2). */
#include "declaration/request_path_func.h"

#include <vector>

namespace pollenstall {

namespace {

constexpr unsigned int BitsOfHexDigit = 4;
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7F;
constexpr int DecimalDigits = 10;

std::optional<unsigned int> hexDigit(char Character) {
  if (Character >= '0' && Character <= '9')
    return static_cast<unsigned int>(Character - '0');
  if (Character >= 'a' && Character <= 'f')
    return static_cast<unsigned int>(Character - 'a' + DecimalDigits);
  if (Character >= 'A' && Character <= 'F')
    return static_cast<unsigned int>(Character - 'A' + DecimalDigits);
  return std::nullopt;
}

bool isControl(char Character) {
  const auto Byte = static_cast<unsigned char>(Character);
  return Byte < FirstPrintable || Byte == Delete;
}

/// A backend server that decodes an encoded separator splits the path into other segments than this
/// code.
bool isSeparator(char Character) { return Character == '/' || Character == '\\'; }

/// @return The decoded segment, or nothing if its encoding is invalid or it contains a separator or
/// a control character.
std::optional<std::string> decodeSegment(std::string_view Segment) {
  std::string Decoded;
  for (std::size_t Index = 0; Index < Segment.size(); ++Index) {
    char Character = Segment[Index];
    if (Character == '%') {
      if (Segment.size() - Index < 3)
        return std::nullopt;
      const auto High = hexDigit(Segment[Index + 1]);
      const auto Low = hexDigit(Segment[Index + 2]);
      if (!High || !Low)
        return std::nullopt;
      Character = static_cast<char>((*High << BitsOfHexDigit) | *Low);
      Index += 2;
    }
    if (isControl(Character) || isSeparator(Character))
      return std::nullopt;
    Decoded += Character;
  }
  return Decoded;
}

/// Appends a segment to a path and resolves "." and "..". @return False if the path leads above the
/// root.
bool appendSegment(std::vector<std::string> &Segments, std::string Segment) {
  if (Segment.empty() || Segment == ".")
    return true;
  if (Segment != "..") {
    Segments.push_back(std::move(Segment));
    return true;
  }
  if (Segments.empty())
    return false;
  Segments.pop_back();
  return true;
}

std::string joinSegments(const std::vector<std::string> &Segments) {
  std::string Path;
  for (const std::string &Segment : Segments)
    Path += "/" + Segment;
  return Path.empty() ? "/" : Path;
}

} // namespace

std::optional<std::string> normalisePath(std::string_view Target) {
  std::string_view Remaining = Target.substr(0, Target.find_first_of("?#"));
  if (Remaining.empty() || Remaining.front() != '/')
    return std::nullopt;
  std::vector<std::string> Segments;
  while (!Remaining.empty()) {
    Remaining.remove_prefix(1);
    const std::string_view Segment = Remaining.substr(0, Remaining.find('/'));
    Remaining.remove_prefix(Segment.size());
    auto Decoded = decodeSegment(Segment.substr(0, Segment.find(';')));
    if (!Decoded || !appendSegment(Segments, std::move(*Decoded)))
      return std::nullopt;
  }
  return joinSegments(Segments);
}

bool coversPath(std::string_view Prefix, std::string_view Path) {
  if (Prefix == "/")
    return true;
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Path.size() == Prefix.size() || Path[Prefix.size()] == '/';
}

} // namespace pollenstall
