/** @file declaration_rule.cpp Validation rules for texts, each with its error text. */
#include "declaration/declaration_rule_func.h"

#include "declaration/request_path_func.h"
#include "declaration/table/declaration_bounds.h"

#include <algorithm>

namespace pollenstall {

namespace {

bool isLetter(char Character) {
  return (Character >= 'a' && Character <= 'z') || (Character >= 'A' && Character <= 'Z');
}

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

bool isOneOf(char Character, std::string_view Set) {
  return Set.find(Character) != std::string_view::npos;
}

bool isVisible(char Character) { return Character > ' ' && Character <= '~'; }

bool isNameCharacter(char Character) {
  return isLetter(Character) || isDigit(Character) || isOneOf(Character, "._-");
}

/// Token characters of RFC 9110, 5.6.2.
bool isTokenCharacter(char Character) {
  return isLetter(Character) || isDigit(Character) || isOneOf(Character, "!#$%&'*+-.^_`|~");
}

template <typename Predicate>
bool consistsOf(const std::string &Text, std::size_t MaxLength, Predicate Allowed) {
  return Text.size() <= MaxLength && std::all_of(Text.begin(), Text.end(), Allowed);
}

bool isName(const std::string &Text) {
  return !Text.empty() && consistsOf(Text, MaxNameLength, isNameCharacter);
}

bool isHost(const std::string &Text) {
  return consistsOf(Text, MaxTextLength,
                    [](char C) { return isLetter(C) || isDigit(C) || isOneOf(C, ".-"); });
}

/// A prefix must be in normal form, so that it has only one spelling. A trailing slash is allowed
/// and has no effect.
bool isPathPrefix(const std::string &Text) {
  const auto Normal = normalisePath(Text);
  return Text.size() <= MaxTextLength && Normal && (*Normal == Text || *Normal + "/" == Text);
}

bool isHeaderValue(const std::string &Text) {
  const bool Trimmed = !Text.empty() && Text.front() != ' ' && Text.back() != ' ';
  return Trimmed &&
         consistsOf(Text, MaxTextLength, [](char C) { return isVisible(C) || C == ' '; });
}

bool isKeyHash(const std::string &Text) {
  return Text.size() == KeyHashDigits && std::all_of(Text.begin(), Text.end(), [](char C) {
           return isDigit(C) || (C >= 'a' && C <= 'f');
         });
}

} // namespace

std::string_view kindText(service_kind Kind) {
  return Kind == service_kind::Model ? "model" : "plain";
}

std::string_view spreadText(placement_spread Spread) {
  return Spread == placement_spread::Domains ? "domains" : "none";
}

const toml_text_rule &nameRule() {
  static const toml_text_rule Rule{"1 to 64 letters, digits, '.', '_' or '-'", isName};
  return Rule;
}

const toml_text_rule &kindRule() {
  static const toml_text_rule Rule{"\"model\" or \"plain\"", [](const std::string &Text) {
                                     return Text == kindText(service_kind::Model) ||
                                            Text == kindText(service_kind::Plain);
                                   }};
  return Rule;
}

const toml_text_rule &spreadRule() {
  static const toml_text_rule Rule{"\"domains\" or \"none\"", [](const std::string &Text) {
                                     return Text == spreadText(placement_spread::Domains) ||
                                            Text == spreadText(placement_spread::None);
                                   }};
  return Rule;
}

const toml_text_rule &modelRule() {
  static const toml_text_rule Rule{
      "1 to 256 visible ASCII characters", [](const std::string &Text) {
        return !Text.empty() && consistsOf(Text, MaxTextLength, isVisible);
      }};
  return Rule;
}

const toml_text_rule &labelValueRule() {
  static const toml_text_rule Rule{
      "at most 256 visible ASCII characters",
      [](const std::string &Text) { return consistsOf(Text, MaxTextLength, isVisible); }};
  return Rule;
}

const toml_text_rule &hostRule() {
  static const toml_text_rule Rule{
      "a host name without port, of letters, digits, '.' and '-'; empty for every host", isHost};
  return Rule;
}

const toml_text_rule &pathPrefixRule() {
  static const toml_text_rule Rule{
      "an absolute path as \"/clips\", decoded, without '%', ';', '?', '#', '\\', \"//\", \".\" "
      "or \"..\" segments",
      isPathPrefix};
  return Rule;
}

const toml_text_rule &methodRule() {
  static const toml_text_rule Rule{"an HTTP method as \"POST\"", [](const std::string &Text) {
                                     return !Text.empty() &&
                                            consistsOf(Text, MaxNameLength, isTokenCharacter);
                                   }};
  return Rule;
}

const toml_text_rule &headerNameRule() {
  static const toml_text_rule Rule{
      "an HTTP header name as \"x-canary\"", [](const std::string &Text) {
        return !Text.empty() && consistsOf(Text, MaxNameLength, isTokenCharacter);
      }};
  return Rule;
}

const toml_text_rule &headerValueRule() {
  static const toml_text_rule Rule{"1 to 256 visible ASCII characters, spaces only between them",
                                   isHeaderValue};
  return Rule;
}

const toml_text_rule &keyHashRule() {
  static const toml_text_rule Rule{"a SHA-256 in 64 lower-case hex digits", isKeyHash};
  return Rule;
}

} // namespace pollenstall
