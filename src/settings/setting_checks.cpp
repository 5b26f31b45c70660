/** @file setting_checks.cpp Validates addresses, names and key hashes. */
#include "core/core.h"
#include "settings/setting_checks_func.h"
#include "settings/settings_type.h"

#include <algorithm>
#include <arpa/inet.h>

namespace pollenstall {

namespace {

constexpr std::size_t MaxName = 64;
constexpr std::size_t HashDigits = 64;
constexpr int MaxPort = 65535;

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') || (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '.' || Character == '_' ||
         Character == '-';
}

bool isHexDigit(char Character) {
  return (Character >= '0' && Character <= '9') || (Character >= 'a' && Character <= 'f');
}

bool isPort(const std::string &Text) {
  const auto Port = parseNumber<int>(Text);
  return Port && *Port >= 0 && *Port <= MaxPort;
}

bool isNumericHost(const std::string &Host) {
  in6_addr Buffer{};
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return inet_pton(AF_INET6, Host.substr(1, Host.size() - 2).c_str(), &Buffer) == 1;
  return inet_pton(AF_INET, Host.c_str(), &Buffer) == 1;
}

} // namespace

std::optional<std::string> checkAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  const bool Valid = Colon != std::string::npos && isPort(Text.substr(Colon + 1)) &&
                     isNumericHost(Text.substr(0, Colon));
  return Valid ? std::nullopt : std::optional<std::string>("IP:port, for example 127.0.0.1:8080");
}

std::optional<std::string> checkName(const std::string &Text) {
  const bool Valid = !Text.empty() && Text.size() <= MaxName &&
                     std::all_of(Text.begin(), Text.end(), isNameCharacter);
  return Valid ? std::nullopt
               : std::optional<std::string>("1 to 64 letters, digits, '.', '_' or '-'");
}

std::optional<std::string> checkKeyHash(const std::string &Text) {
  const bool Valid = Text.size() == HashDigits && std::all_of(Text.begin(), Text.end(), isHexDigit);
  return Valid ? std::nullopt : std::optional<std::string>("a SHA-256 in 64 lower-case hex digits");
}

std::optional<std::string> checkNotEmpty(const std::string &Text) {
  return Text.empty() ? std::optional<std::string>("a non-empty text") : std::nullopt;
}

std::string toText(const std::vector<settings_error> &Errors) {
  std::string Text;
  for (const settings_error &Error : Errors) {
    Text += Error.File + ":" + std::to_string(Error.Line) + ": ";
    Text += (Error.Key.empty() ? "" : Error.Key + ": ") + "allowed: " + Error.Allowed + "\n";
  }
  return Text;
}

} // namespace pollenstall
