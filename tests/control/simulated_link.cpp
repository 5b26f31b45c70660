/** @file simulated_link.cpp Round robin of connections on one link. */
#include "simulated_link.h"

#include <algorithm>

namespace pollenstall {

namespace {

mono_duration timeFor(std::size_t Bytes, double BytesPerSecond) {
  return std::chrono::duration_cast<mono_duration>(
      std::chrono::duration<double>(static_cast<double>(Bytes) / BytesPerSecond));
}

} // namespace

void simulated_clock::runUntil(mono_time End) {
  while (!Waiting.empty() && Waiting.begin()->first <= End) {
    Time = std::max(Time, Waiting.begin()->first);
    const auto Action = std::move(Waiting.begin()->second);
    Waiting.erase(Waiting.begin());
    Action();
  }
  Time = End;
}

void simulated_link::send(std::uint64_t Connection, std::size_t Bytes,
                          std::function<void(std::size_t)> Arrived, callback Completed) {
  connection &To = Connections[Connection];
  To.Messages.push_back({Bytes, std::move(Arrived), std::move(Completed)});
  if (To.Messages.size() == 1 && !To.InFlight)
    SendQueue.push_back(Connection);
  serve();
}

void simulated_link::serve() {
  while (!Busy && !SendQueue.empty()) {
    const std::uint64_t Id = SendQueue.front();
    SendQueue.pop_front();
    const auto Found = Connections.find(Id);
    if (Found == Connections.end() || Found->second.InFlight || Found->second.Messages.empty())
      continue;
    connection &To = Found->second;
    const std::size_t Bytes = std::min(To.Messages.front().Remaining, Rates.Window);
    To.InFlight = true;
    Busy = true;
    Sent += Bytes;
    Clock.after(timeFor(Bytes, Rates.Sender), [this, Id, Bytes] {
      Busy = false;
      if (const auto Open = Connections.find(Id); Open != Connections.end()) {
        const mono_time Reaches = std::max(Clock.now() + Rates.Delay, Open->second.ReceiverFree);
        const double Rate = Open->second.Rate > 0 ? Open->second.Rate : Rates.Receiver;
        Open->second.ReceiverFree = Reaches + timeFor(Bytes, Rate);
        Clock.at(Open->second.ReceiverFree, [this, Id, Bytes] { arrived(Id, Bytes); });
      }
      serve();
    });
  }
}

void simulated_link::arrived(std::uint64_t Id, std::size_t Bytes) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  connection &To = Found->second;
  To.InFlight = false;
  message &First = To.Messages.front();
  First.Remaining -= Bytes;
  const auto Arrived = First.Arrived;
  const callback Completed = First.Remaining == 0 ? First.Completed : callback();
  if (First.Remaining == 0)
    To.Messages.pop_front();
  if (!To.Messages.empty())
    SendQueue.push_back(Id);
  if (Arrived)
    Arrived(Bytes);
  if (Completed)
    Completed();
  serve();
}

} // namespace pollenstall
