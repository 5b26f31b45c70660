/** @file main.cpp pollenstall-fake-backend: serves until SIGTERM and until its work has ended. */
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
  const auto Served = std::async(std::launch::async, [&Server] { Server.run(); });
  Stop.wait();
  Server.leave();
  if (Served.wait_for(Settings.ShutdownLimit) == std::future_status::ready)
    return exit_code::Ok;
  logEvent(log_level::Warning, "shutdown_limit");
  // The serving thread is in the middle of work that will not end: there is nothing to wait for.
  std::_Exit(static_cast<int>(exit_code::ShutdownLimit));
}

} // namespace

int main(int Count, const char **Values) {
  return runProgram<backend_settings>(
      Count, Values,
      {"pollenstall-fake-backend", "a stand-in for a model engine or a plain service, with faults"},
      backendSettings(), serve);
}
