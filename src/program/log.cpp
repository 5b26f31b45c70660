/** @file log.cpp One JSON object a line; log4cxx does levels, buffering and output. */
#include "program/log_func.h"

#include "core/core.h"
#include "program/log_writer_base.h"

#include <boost/json.hpp>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <cstdlib>
#include <memory>

namespace pollenstall {

namespace {

/// Lines that wait for the reader of the log: about 10,000 of them.
constexpr std::size_t MostLogBytes = 4U << 20U;

std::string ProgramName;
std::unique_ptr<log_writer> Writer; ///< Null before startLogging().

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

boost::json::object lineOf(log_level Level, std::string_view Event) {
  boost::json::object Line;
  Line["time_unix_ms"] = wallClock().count();
  Line["level"] = nameOf(Level);
  Line["program"] = ProgramName;
  Line["event"] = Event;
  return Line;
}

void write(const std::string &Line) { eventLogger()->forcedLog(log4cxx::Level::getInfo(), Line); }

std::string droppedLine(std::uint64_t Count) {
  boost::json::object Line = lineOf(log_level::Warning, "log_lines_dropped");
  Line["lines"] = Count;
  return boost::json::serialize(Line);
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
  Writer = std::make_unique<log_writer>(MostLogBytes, write, droppedLine);
  // What is registered now runs before log4cxx's own statics are destroyed. Left to the static
  // objects, a process that ended at once wrote its last line through a logger that was gone.
  std::atexit([] { Writer.reset(); });
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
  boost::json::object Line = lineOf(Level, Event);
  for (const auto &[Name, Value] : Fields)
    std::visit([&Line, Key = Name](const auto &Plain) { Line[Key] = Plain; }, Value);
  std::string Text = boost::json::serialize(Line);
  const bool Severe = Level == log_level::Warning || Level == log_level::Error;
  if (Writer)
    Writer->push(std::move(Text), Severe ? line_weight::Severe : line_weight::Ordinary);
  else
    write(Text);
}

} // namespace pollenstall
