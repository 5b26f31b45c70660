/** @file main.cpp pollenstall-fake-backend: serves until SIGTERM, then drains. */
#include "fake_backend/fake_backend.h"
#include "program/program.h"

#include <cstdlib>
#include <future>

namespace {

using namespace pollenstall;

exit_code serve(const backend_settings &Settings) {
  startLogging("pollenstall-fake-backend",
               logLevelFromText(Settings.LogLevel).value_or(log_level::Info));
  const stop_signal Stop;
  backend_server Server(Settings);
  const auto Listening = Server.listen();
  if (!succeeded(Listening)) {
    logEvent(log_level::Error, "start_failed", {{"reason", errorOf(Listening).Message}});
    return exit_code::Failure;
  }
  const auto ServerFinished = std::async(std::launch::async, [&Server] { Server.run(); });
  Stop.wait();
  Server.leave();
  if (ServerFinished.wait_for(Settings.ShutdownLimit) == std::future_status::ready)
    return exit_code::Ok;
  logEvent(log_level::Warning, "shutdown_limit");
  // The serving thread did not finish its work in time. Exits without waiting for it.
  std::_Exit(static_cast<int>(exit_code::ShutdownLimit));
}

} // namespace

int main(int Count, const char **Values) {
  return runProgram<backend_settings>(
      Count, Values,
      {"pollenstall-fake-backend", "a fake model engine or plain service with fault injection"},
      backendSettings(), serve);
}
