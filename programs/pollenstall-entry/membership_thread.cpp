/** @file membership_thread.cpp Announcements and time in, views out. */
#include "membership_thread_base.h"

#include "program/program.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::size_t MaxAnnounced = 4096;
constexpr mono_span LongestSleep = std::chrono::milliseconds(250);

} // namespace

membership_thread::membership_thread(fleet_membership Model,
                                     bounded_ring<membership_action> &Target)
    : Membership(std::move(Model)), Outbox(Target) {}

membership_thread::~membership_thread() { stop(); }

void membership_thread::start() {
  Thread = std::thread([this] { run(); });
}

void membership_thread::stop() {
  Stopping = true;
  Gate.wake();
  if (Thread.joinable())
    Thread.join();
}

bool membership_thread::announce(received_announcement Announcement) {
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    if (Announced.size() >= MaxAnnounced)
      return false;
    Announced.push_back(std::move(Announcement));
  }
  Gate.wake();
  return true;
}

void membership_thread::run() {
  while (!Stopping) {
    turn(boot_clock::now());
    const mono_span Sleep = Membership.nextWake() - boot_clock::now();
    Gate.sleepFor(std::clamp(Sleep, mono_span::zero(), LongestSleep));
  }
  Membership.leave(boot_clock::now());
}

void membership_thread::turn(mono_time Now) {
  std::vector<received_announcement> Taken;
  std::vector<std::promise<std::string>> Dumps;
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    Taken.swap(Announced);
    Dumps.swap(DumpsWanted);
  }
  Membership.advance(Now);
  for (const received_announcement &One : Taken)
    if (!succeeded(Membership.announce(One.Announcement, One.Load, Now)))
      logEvent(log_level::Warning, "announcement_refused",
               {{"backend", toText(One.Announcement.Key)}});
  for (membership_action &Action : Membership.takeActions())
    pass(std::move(Action));
  Outbox.flush();
  for (std::promise<std::string> &Answer : Dumps)
    Answer.set_value(Membership.dump());
}

void membership_thread::pass(membership_action &&Action) {
  if (!std::holds_alternative<send_message>(Action))
    Outbox.push(std::move(Action));
}

std::optional<std::string> membership_thread::dump(std::chrono::milliseconds Limit) {
  std::promise<std::string> Answer;
  std::future<std::string> Waiting = Answer.get_future();
  {
    const std::lock_guard<std::mutex> Lock(Guard);
    DumpsWanted.push_back(std::move(Answer));
  }
  Gate.wake();
  if (Waiting.wait_for(Limit) != std::future_status::ready)
    return std::nullopt;
  return Waiting.get();
}

} // namespace pollenstall
