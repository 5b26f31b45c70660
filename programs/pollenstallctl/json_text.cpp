/** @file json_text.cpp Access to members of JSON values, tables and indented lines. */
#include "json_text_func.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <vector>

namespace pollenstall {

namespace {

constexpr std::uint64_t MillisecondsPerSecond = 1'000;
constexpr std::size_t TimeTextSize = 32;

constexpr std::size_t IndentStep = 2;
constexpr std::size_t ColumnGap = 2;

std::string cellText(const boost::json::value *Value) {
  if (!Value || Value->is_null())
    return "-";
  if (const auto *Text = Value->if_string())
    return std::string(*Text);
  return boost::json::serialize(*Value);
}

bool isListOfObjects(const boost::json::value &Value) {
  const auto *List = Value.if_array();
  return List && !List->empty() &&
         std::all_of(List->begin(), List->end(),
                     [](const boost::json::value &Item) { return Item.is_object(); });
}

std::vector<std::string> columnsOf(const boost::json::array &Rows) {
  std::vector<std::string> Columns;
  for (const boost::json::value &Row : Rows)
    for (const auto &Member : Row.as_object())
      if (std::find(Columns.begin(), Columns.end(), Member.key()) == Columns.end())
        Columns.emplace_back(Member.key());
  return Columns;
}

std::string indented(const std::string &Text, std::size_t Width) {
  std::string Result;
  std::size_t Begin = 0;
  while (Begin < Text.size()) {
    const std::size_t End = std::min(Text.find('\n', Begin), Text.size() - 1);
    Result += std::string(Width, ' ') + Text.substr(Begin, End - Begin + 1);
    Begin = End + 1;
  }
  return Result;
}

std::string lineText(const std::vector<std::string> &Cells,
                     const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t I = 0; I < Cells.size(); ++I)
    Line += Cells[I] + std::string(Widths[I] - Cells[I].size() + ColumnGap, ' ');
  Line.erase(Line.find_last_not_of(' ') + 1);
  return Line + "\n";
}

} // namespace

const boost::json::value *findMember(const boost::json::value &Value, std::string_view Key) {
  const auto *Object = Value.if_object();
  return Object ? Object->if_contains(Key) : nullptr;
}

std::string textAt(const boost::json::value &Value, std::string_view Key) {
  const auto *Member = findMember(Value, Key);
  const auto *Text = Member ? Member->if_string() : nullptr;
  return Text ? std::string(*Text) : std::string();
}

std::optional<std::uint64_t> numberAt(const boost::json::value &Value, std::string_view Key) {
  const auto *Member = findMember(Value, Key);
  if (!Member || !Member->is_number())
    return std::nullopt;
  boost::system::error_code Error;
  const auto Number = Member->to_number<std::uint64_t>(Error);
  return Error ? std::nullopt : std::optional(Number);
}

std::optional<bool> flagAt(const boost::json::value &Value, std::string_view Key) {
  const auto *Member = findMember(Value, Key);
  return Member && Member->is_bool() ? std::optional(Member->get_bool()) : std::nullopt;
}

std::string errorCode(const boost::json::value &Body) {
  const auto *Error = findMember(Body, "error");
  return Error ? textAt(*Error, "code") : std::string();
}

std::string errorMessage(const boost::json::value &Body) {
  const auto *Error = findMember(Body, "error");
  const std::string Message = Error ? textAt(*Error, "message") : std::string();
  return Message.empty() ? "no reason given" : Message;
}

std::string timeText(std::uint64_t UnixMs) {
  const auto Seconds = static_cast<std::time_t>(UnixMs / MillisecondsPerSecond);
  std::tm UtcTime{};
  gmtime_r(&Seconds, &UtcTime);
  std::array<char, TimeTextSize> Text{};
  const std::size_t Length = std::strftime(Text.data(), Text.size(), "%F %TZ", &UtcTime);
  return {Text.data(), Length};
}

std::string tableText(const boost::json::array &Rows) {
  const std::vector<std::string> Columns = columnsOf(Rows);
  std::vector<std::vector<std::string>> Lines{Columns};
  for (const boost::json::value &Row : Rows) {
    std::vector<std::string> Cells;
    Cells.reserve(Columns.size());
    for (const std::string &Column : Columns)
      Cells.push_back(cellText(findMember(Row, Column)));
    Lines.push_back(std::move(Cells));
  }
  std::vector<std::size_t> Widths(Columns.size(), 0);
  for (const auto &Cells : Lines)
    for (std::size_t I = 0; I < Cells.size(); ++I)
      Widths[I] = std::max(Widths[I], Cells[I].size());
  std::string Text;
  for (const auto &Cells : Lines)
    Text += lineText(Cells, Widths);
  return Text;
}

std::string toReadableText(const boost::json::value &Value) {
  const auto *Object = Value.if_object();
  if (!Object)
    return cellText(&Value) + "\n";
  std::string Text;
  for (const auto &Member : *Object) {
    const std::string Key(Member.key());
    if (isListOfObjects(Member.value()))
      Text += Key + ":\n" + indented(tableText(Member.value().get_array()), IndentStep);
    else if (Member.value().is_object())
      Text += Key + ":\n" + indented(toReadableText(Member.value()), IndentStep);
    else
      Text += Key + ": " + cellText(&Member.value()) + "\n";
  }
  return Text;
}

} // namespace pollenstall
