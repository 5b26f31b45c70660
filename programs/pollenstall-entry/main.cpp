/** @file main.cpp pollenstall-entry: accepts requests of callers and sends them to backend servers.
 */
#include "entry_base.h"

namespace {

using namespace pollenstall;

constexpr std::chrono::milliseconds SupersededCheck{500};

exit_code runEntry(const entry_settings &Settings) {
  const stop_signal
      Stop; // Created before any thread, so that all threads inherit the blocked signals.
  startLogging("pollenstall-entry", logLevelFromText(Settings.LogLevel).value_or(log_level::Info));
  entry Entry(Settings);
  const auto Started = Entry.start();
  if (!succeeded(Started)) {
    logEvent(log_level::Error, "start_failed", {{"error", errorOf(Started).Text}});
    return exit_code::Failure;
  }
  while (!Stop.waitFor(SupersededCheck))
    if (Entry.superseded()) {
      logEvent(log_level::Error, "superseded");
      Entry.shutDown();
      return exit_code::Failure;
    }
  return Entry.shutDown();
}

} // namespace

int main(int Count, char **Values) {
  const program_description Description{
      "pollenstall-entry", "accepts requests of callers and sends them to backend servers"};
  return runProgram<entry_settings>(Count, const_cast<const char **>(Values), Description,
                                    entrySettings(), runEntry);
}
