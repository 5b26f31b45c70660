/** @file log.cpp Formats events as one JSON object per line; log4cxx filters and writes them. */
#include "program/log_func.h"

#include "core/core.h"
#include "program/crash_report_func.h"
#include "program/log_writer_base.h"

#include <boost/json.hpp>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <cstdlib>
#include <memory>

namespace pollenstall {

namespace {

/// Memory for queued lines, about 10,000 of them.
constexpr std::size_t MaxLogBytes = 4U << 20U;

std::string ProgramName;
std::unique_ptr<log_writer> Writer; ///< Null before startLogging().

log4cxx::LoggerPtr eventLogger() {
  static const log4cxx::LoggerPtr Logger = log4cxx::Logger::getLogger("pollenstall");
  return Logger;
}

log4cxx::LevelPtr log4cxxLevel(log_level Level) {
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

const char *levelName(log_level Level) {
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

boost::json::object makeLine(log_level Level, std::string_view Event) {
  boost::json::object Line;
  Line["time_unix_ms"] = wallClock().count();
  Line["level"] = levelName(Level);
  Line["program"] = ProgramName;
  Line["event"] = Event;
  return Line;
}

void write(const std::string &Line) { eventLogger()->forcedLog(log4cxx::Level::getInfo(), Line); }

std::string droppedLine(std::uint64_t Count) {
  boost::json::object Line = makeLine(log_level::Warning, "log_lines_dropped");
  Line["lines"] = Count;
  return boost::json::serialize(Line);
}

} // namespace

void startLogging(std::string_view Program, log_level MinLevel) {
  ProgramName = Program;
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  const auto Appender =
      std::make_shared<log4cxx::ConsoleAppender>(Layout, LOG4CXX_STR("System.err"));
  eventLogger()->setAdditivity(false);
  eventLogger()->removeAllAppenders();
  eventLogger()->addAppender(Appender);
  eventLogger()->setLevel(log4cxxLevel(MinLevel));
  Writer = std::make_unique<log_writer>(MaxLogBytes, write, droppedLine);
  reportCrashes(Program);
  // A handler registered here runs before the statics of log4cxx are destroyed. If Writer were
  // destroyed with the other statics, a process that exits immediately would write its last line
  // through a destroyed logger.
  std::atexit([] { Writer.reset(); });
}

std::optional<log_level> logLevelFromText(std::string_view Text) {
  for (const log_level Level :
       {log_level::Debug, log_level::Info, log_level::Warning, log_level::Error})
    if (Text == levelName(Level))
      return Level;
  return std::nullopt;
}

void logEvent(log_level Level, std::string_view Event, std::initializer_list<log_field> Fields) {
  const log4cxx::LevelPtr Log4cxxLevel = log4cxxLevel(Level);
  if (!eventLogger()->isEnabledFor(Log4cxxLevel))
    return;
  boost::json::object Line = makeLine(Level, Event);
  for (const auto &[Name, Value] : Fields)
    std::visit([&Line, Key = Name](const auto &FieldValue) { Line[Key] = FieldValue; }, Value);
  std::string Text = boost::json::serialize(Line);
  const bool Severe = Level == log_level::Warning || Level == log_level::Error;
  if (Writer)
    Writer->push(std::move(Text), Severe ? line_severity::Severe : line_severity::Ordinary);
  else
    write(Text);
}

} // namespace pollenstall
