/** @file log.cpp One JSON object a line; log4cxx does levels, buffering and output. */
#include "program/log_func.h"

#include <boost/json.hpp>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <chrono>
#include <memory>

namespace pollenstall {

namespace {

std::string ProgramName;

log4cxx::LoggerPtr eventLogger() {
  static const log4cxx::LoggerPtr Logger = log4cxx::Logger::getLogger("pollenstall");
  return Logger;
}

log4cxx::LevelPtr levelOf(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return log4cxx::Level::getDebug();
  case log_level::Info:
    return log4cxx::Level::getInfo();
  case log_level::Warning:
    return log4cxx::Level::getWarn();
  default:
    return log4cxx::Level::getError();
  }
}

const char *nameOf(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return "debug";
  case log_level::Info:
    return "info";
  case log_level::Warning:
    return "warning";
  default:
    return "error";
  }
}

std::int64_t unixMilliseconds() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

} // namespace

void startLogging(std::string_view Program, log_level Least) {
  ProgramName = Program;
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  const auto Appender =
      std::make_shared<log4cxx::ConsoleAppender>(Layout, LOG4CXX_STR("System.err"));
  eventLogger()->setAdditivity(false);
  eventLogger()->removeAllAppenders();
  eventLogger()->addAppender(Appender);
  eventLogger()->setLevel(levelOf(Least));
}

std::optional<log_level> logLevelFromText(std::string_view Text) {
  for (const log_level Level :
       {log_level::Debug, log_level::Info, log_level::Warning, log_level::Error})
    if (Text == nameOf(Level))
      return Level;
  return std::nullopt;
}

void logEvent(log_level Level, std::string_view Event, std::initializer_list<log_field> Fields) {
  const log4cxx::LevelPtr Wanted = levelOf(Level);
  if (!eventLogger()->isEnabledFor(Wanted))
    return;
  boost::json::object Line;
  Line["time_unix_ms"] = unixMilliseconds();
  Line["level"] = nameOf(Level);
  Line["program"] = ProgramName;
  Line["event"] = Event;
  for (const auto &[Name, Value] : Fields)
    std::visit([&Line, Key = Name](const auto &Plain) { Line[Key] = Plain; }, Value);
  eventLogger()->forcedLog(Wanted, boost::json::serialize(Line));
}

} // namespace pollenstall
