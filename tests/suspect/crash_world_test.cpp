/** @file crash_world_test.cpp Servers that crash at random and by a request, in modelled time. */
#include "suspect/suspect.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <set>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{10};
constexpr milliseconds Day{60'000};
constexpr milliseconds Restart{2'000};
/// From a crash until all entries act on what the control hosts make of it.
constexpr milliseconds Knowledge{100};

struct world_plan {
  std::uint64_t Servers{18};
  milliseconds CrashEach{2'700}; ///< At random, one server.
  milliseconds DomainAt{20'000}; ///< A third of the servers at once.
  int CrashingSends{0};          ///< At once, each 0.3 s from 5 s on.
};

/// Requests of 100 accounts, the same request of one account dozens of times at once, and perhaps
/// one that crashes the server on which it begins.
class crash_world {
public:
  crash_world(const world_plan &Wanted, std::uint64_t Seed) : Plan(Wanted), Random(Seed) {}

  void play() {
    for (Now = milliseconds(0); Now < Day; Now += Step) {
      sendInnocents();
      sendCrashing();
      endRuns();
      crashAtRandom();
    }
  }

  std::size_t InnocentRefused{0};
  std::size_t Ended{0};     ///< Servers, under the crashing request.
  std::size_t LateSends{0}; ///< Later than 3 s after the third of them.

private:
  struct run {
    request_mark Mark;
    std::uint64_t Server{0};
    milliseconds Until{0};
    bool Crashes{false};
  };

  [[nodiscard]] bool isBlocked(const request_mark &Mark) const {
    for (const told_suspect &One : Told)
      if (One.Mark == Mark)
        return One.BlockedFor > Now - ToldAt;
    return false;
  }
  [[nodiscard]] bool isTold(const request_mark &Mark) const {
    for (const told_suspect &One : Told)
      if (One.Mark == Mark)
        return true;
    return false;
  }

  /// Entries act on what was known some time ago.
  void learn() {
    if (Now - ToldAt < Knowledge)
      return;
    Told = std::exchange(Next, Table.told(Now + Epoch));
    ToldAt = Now;
  }

  void start(const request_mark &Mark, milliseconds Lasts, bool Crashes) {
    std::vector<std::uint64_t> Up;
    for (std::uint64_t Server = 0; Server < Plan.Servers; ++Server)
      if (DownUntil[Server] <= Now)
        Up.push_back(Server);
    if (!Up.empty())
      Runs.push_back({Mark, Up[Random.below(Up.size())], Now + Lasts, Crashes});
  }

  void sendInnocents() {
    learn();
    const auto Send = [this](const request_mark &Mark, milliseconds Lasts) {
      if (isBlocked(Mark))
        ++InnocentRefused;
      else
        start(Mark, Lasts, false);
    };
    // 20 requests a second, each of its own.
    if (Random.below(5) == 0)
      Send({Random.below(100) + 10, ++LastRequest, LastRequest, LastRequest},
           milliseconds(200 + Random.below(3'000)));
    // 20 a second of one request.
    if (Random.below(5) == 0)
      Send(Hot, milliseconds(200 + Random.below(1'500)));
  }

  void sendCrashing() {
    if (Now < milliseconds(5'000) || Now.count() % 300 != 0)
      return;
    for (int Send = 0; Send < Plan.CrashingSends; ++Send) {
      if (isBlocked(Cause))
        continue;
      LateSends += ThirdAt && Now > *ThirdAt + milliseconds(3'000) ? 1 : 0;
      start(Cause, milliseconds(60 + Random.below(150)), true);
    }
  }

  void endRuns() {
    std::vector<run> Ending;
    std::erase_if(Runs, [&](const run &Run) {
      if (Run.Until > Now)
        return false;
      Ending.push_back(Run);
      return true;
    });
    for (const run &Run : Ending) {
      if (Run.Crashes && DownUntil[Run.Server] <= Now) {
        ++Ended;
        if (Ended == 3)
          ThirdAt = Now;
        crash(Run.Server, {Run.Mark});
      } else if (!Run.Crashes && isTold(Run.Mark)) {
        Table.clear(Run.Mark.High);
      }
    }
  }

  void crash(std::uint64_t Server, std::set<request_mark> Marks) {
    if (DownUntil[Server] > Now)
      return;
    DownUntil[Server] = Now + Restart;
    std::vector<run> Broken;
    std::erase_if(Runs, [&](const run &Run) {
      if (Run.Server != Server)
        return false;
      Marks.insert(Run.Mark);
      Broken.push_back(Run);
      return true;
    });
    Table.noteCrash({Marks.begin(), Marks.end()}, incarnation(++LastIncarnation), Now + Epoch);
    for (const run &Run : Broken) // Sent on to another server.
      if (!isBlocked(Run.Mark))
        start(Run.Mark, milliseconds(200 + Random.below(1'500)), Run.Crashes);
  }

  void crashAtRandom() {
    if (Random.below(static_cast<std::uint64_t>(Plan.CrashEach / Step)) == 0)
      crash(Random.below(Plan.Servers), {});
    if (Now == Plan.DomainAt)
      for (std::uint64_t Server = 0; Server < Plan.Servers / 3; ++Server)
        crash(Server, {});
  }

  const milliseconds Epoch{1'000'000'000};
  const request_mark Hot{1, 1, 1, 1};
  const request_mark Cause{2, 2, 2, 2};
  world_plan Plan;
  random_source Random;
  suspect_table Table;
  milliseconds Now{0};
  std::map<std::uint64_t, milliseconds> DownUntil;
  std::vector<run> Runs;
  std::vector<told_suspect> Told;
  std::vector<told_suspect> Next;
  milliseconds ToldAt{0};
  std::optional<milliseconds> ThirdAt;
  std::uint64_t LastIncarnation{0};
  std::uint64_t LastRequest{100};
};

std::uint64_t seeds() {
  const char *Given = std::getenv("POLLENSTALL_SEEDS");
  return Given == nullptr ? 100 : std::strtoull(Given, nullptr, 10);
}

// Guards against innocent requests that are refused since servers crash at random, or a domain is
// lost.
TEST(CrashWorldTest, RefusesNoInnocentRequestWhileServersCrashAtRandom) {
  std::size_t Refused = 0;
  for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed) {
    crash_world World({}, Seed);
    World.play();
    EXPECT_EQ(World.InnocentRefused, 0U) << "seed " << Seed;
    Refused += World.InnocentRefused;
  }
  std::cout << "innocent requests refused: " << Refused << " in " << seeds() << " runs\n";
}

// Guards against a request that goes on to end servers after the third one.
TEST(CrashWorldTest, BlocksTheRequestUnderWhichServersCrash) {
  std::size_t MostEnded = 0;
  std::size_t Refused = 0;
  for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed)
    for (const int Sends : {1, 3}) {
      world_plan Plan;
      Plan.CrashingSends = Sends;
      crash_world World(Plan, Seed);
      World.play();
      EXPECT_LE(World.LateSends, 3U) << "seed " << Seed << ", " << Sends << " at once";
      MostEnded = std::max(MostEnded, World.Ended);
      Refused += World.InnocentRefused;
    }
  std::cout << "servers ended at the most: " << MostEnded
            << "; innocent requests refused in all: " << Refused << " in " << 2 * seeds()
            << " runs\n";
}

} // namespace
} // namespace pollenstall
