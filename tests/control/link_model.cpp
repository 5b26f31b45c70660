/** @file link_model.cpp Connections take turns on one link. */
#include "link_model.h"

#include <algorithm>

namespace pollenstall {

namespace {

mono_duration timeFor(std::size_t Bytes, double BytesPerSecond) {
  return std::chrono::duration_cast<mono_duration>(
      std::chrono::duration<double>(static_cast<double>(Bytes) / BytesPerSecond));
}

} // namespace

void agenda::runUntil(mono_time End) {
  while (!Waiting.empty() && Waiting.begin()->first <= End) {
    Time = std::max(Time, Waiting.begin()->first);
    const auto What = std::move(Waiting.begin()->second);
    Waiting.erase(Waiting.begin());
    What();
  }
  Time = End;
}

void link_model::send(std::uint64_t Connection, std::size_t Bytes,
                      std::function<void(std::size_t)> Arrived, hook Whole) {
  connection &To = Connections[Connection];
  To.Messages.push_back({Bytes, std::move(Arrived), std::move(Whole)});
  if (To.Messages.size() == 1 && !To.OnItsWay)
    Turns.push_back(Connection);
  serve();
}

void link_model::serve() {
  while (!Busy && !Turns.empty()) {
    const std::uint64_t Number = Turns.front();
    Turns.pop_front();
    const auto Found = Connections.find(Number);
    if (Found == Connections.end() || Found->second.OnItsWay || Found->second.Messages.empty())
      continue;
    connection &To = Found->second;
    const std::size_t Bytes = std::min(To.Messages.front().Left, Rates.Window);
    To.OnItsWay = true;
    Busy = true;
    Sent += Bytes;
    Agenda.after(timeFor(Bytes, Rates.Sender), [this, Number, Bytes] {
      Busy = false;
      if (const auto Still = Connections.find(Number); Still != Connections.end()) {
        const mono_time Reaches = std::max(Agenda.now() + Rates.Delay, Still->second.ReceiverFree);
        const double Rate = Still->second.Rate > 0 ? Still->second.Rate : Rates.Receiver;
        Still->second.ReceiverFree = Reaches + timeFor(Bytes, Rate);
        Agenda.at(Still->second.ReceiverFree, [this, Number, Bytes] { arrived(Number, Bytes); });
      }
      serve();
    });
  }
}

void link_model::arrived(std::uint64_t Number, std::size_t Bytes) {
  const auto Found = Connections.find(Number);
  if (Found == Connections.end())
    return;
  connection &To = Found->second;
  To.OnItsWay = false;
  message &First = To.Messages.front();
  First.Left -= Bytes;
  const auto Arrived = First.Arrived;
  const hook Whole = First.Left == 0 ? First.Whole : hook();
  if (First.Left == 0)
    To.Messages.pop_front();
  if (!To.Messages.empty())
    Turns.push_back(Number);
  if (Arrived)
    Arrived(Bytes);
  if (Whole)
    Whole();
  serve();
}

} // namespace pollenstall
