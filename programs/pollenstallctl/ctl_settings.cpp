/** @file ctl_settings.cpp The settings file of pollenstallctl. */
#include "ctl_options_func.h"

#include "http_client_func.h"

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

constexpr number_range<milliseconds> TimeoutRange{milliseconds(20'000), milliseconds(1'000),
                                                  milliseconds(86'400'000)};

std::optional<std::string> checkUrl(const std::string &Text) {
  return parseUrl(Text) ? std::nullopt : std::optional<std::string>("http://IP:PORT");
}

} // namespace

const settings_table<ctl_settings> &ctlSettingsTable() {
  static const settings_table<ctl_settings> Table =
      settings_table<ctl_settings>()
          .texts("control", &ctl_settings::ControlUrls, presence::Optional, "http://IP:PORT",
                 checkUrl, "Operator API URLs of the control hosts.")
          .text("key_file", &ctl_settings::KeyFile, presence::Optional, "the name of a file", {},
                "File with the operators' bearer key on one line.")
          .span("timeout_ms", &ctl_settings::Timeout, TimeoutRange,
                "Time limit for a whole command, including retries.");
  return Table;
}

} // namespace pollenstall
