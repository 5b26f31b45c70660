/** @file request_path.cpp Percent-decoding and dot segments (RFC 3986, 5.2.4 and 6.2.2). */
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

/// A backend server that decodes an encoded separator sees other segments than we do.
bool isSeparator(char Character) { return Character == '/' || Character == '\\'; }

/// @return The decoded segment, or nothing where it is badly encoded or hides a separator.
std::optional<std::string> decodeSegment(std::string_view Segment) {
  std::string Decoded;
  for (std::size_t At = 0; At < Segment.size(); ++At) {
    char Character = Segment[At];
    if (Character == '%') {
      if (Segment.size() - At < 3)
        return std::nullopt;
      const auto High = hexDigit(Segment[At + 1]);
      const auto Low = hexDigit(Segment[At + 2]);
      if (!High || !Low)
        return std::nullopt;
      Character = static_cast<char>((*High << BitsOfHexDigit) | *Low);
      At += 2;
    }
    if (isControl(Character) || isSeparator(Character))
      return std::nullopt;
    Decoded += Character;
  }
  return Decoded;
}

/// Adds a segment to those that lead to it. @return False where it climbs above the root.
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

std::string joined(const std::vector<std::string> &Segments) {
  std::string Path;
  for (const std::string &Segment : Segments)
    Path += "/" + Segment;
  return Path.empty() ? "/" : Path;
}

} // namespace

std::optional<std::string> normalisePath(std::string_view Target) {
  std::string_view Rest = Target.substr(0, Target.find_first_of("?#"));
  if (Rest.empty() || Rest.front() != '/')
    return std::nullopt;
  std::vector<std::string> Segments;
  while (!Rest.empty()) {
    Rest.remove_prefix(1);
    const std::string_view Segment = Rest.substr(0, Rest.find('/'));
    Rest.remove_prefix(Segment.size());
    auto Decoded = decodeSegment(Segment.substr(0, Segment.find(';')));
    if (!Decoded || !appendSegment(Segments, std::move(*Decoded)))
      return std::nullopt;
  }
  return joined(Segments);
}

bool coversPath(std::string_view Prefix, std::string_view Path) {
  if (Prefix == "/")
    return true;
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Path.size() == Prefix.size() || Path[Prefix.size()] == '/';
}

} // namespace pollenstall
