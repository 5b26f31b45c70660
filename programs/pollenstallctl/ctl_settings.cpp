/** @file ctl_settings.cpp The settings file of the tool. */
#include "ctl_options_func.h"

#include "http_client_func.h"
#include "toml_text/toml_text.h"
#include "verb_common_func.h"

namespace pollenstall {

namespace {

constexpr toml_range<std::int64_t> TimeoutMs{1'000, 86'400'000};

const toml_text_rule &urlRule() {
  static const toml_text_rule Rule{
      "http://IP:PORT", [](const std::string &Text) { return parseUrl(Text).has_value(); }};
  return Rule;
}

const toml_text_rule &fileRule() {
  static const toml_text_rule Rule{"the name of a file",
                                   [](const std::string &Text) { return !Text.empty(); }};
  return Rule;
}

std::vector<declaration_error> fromFaults(const std::vector<toml_fault> &Faults,
                                          const std::string &Path) {
  std::vector<declaration_error> Errors;
  Errors.reserve(Faults.size());
  for (const toml_fault &Fault : Faults)
    Errors.push_back({Path, Fault.Line, Fault.Key, Fault.Allowed});
  return Errors;
}

} // namespace

result<done, std::vector<declaration_error>> readCtlSettings(const std::string &Path,
                                                             ctl_options &Into) {
  const auto Text = readFile(Path);
  if (!succeeded(Text))
    return fromFaults({{0, "", "a file that can be read"}}, Path);
  const auto Parsed = parseToml(valueOf(Text));
  if (!succeeded(Parsed))
    return fromFaults({errorOf(Parsed)}, Path);
  std::vector<toml_fault> Faults;
  toml_reader Root(valueOf(Parsed), "", Faults);
  Into.ControlUrls = Root.texts("control", toml_need::Optional, urlRule());
  Into.KeyFile = Root.text("key_file", toml_need::Optional, fileRule());
  Into.Timeout =
      std::chrono::milliseconds(Root.whole("timeout_ms", TimeoutMs, Into.Timeout.count()));
  Root.finish("the settings of pollenstallctl");
  if (!Faults.empty())
    return fromFaults(Faults, Path);
  return done{};
}

} // namespace pollenstall
