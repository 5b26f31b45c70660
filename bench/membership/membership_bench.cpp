/** @file membership_bench.cpp Bytes, CPU and memory a host, and time until everyone knows, against
 * the size of the fleet; JSON lines, exit 1 where the byte budget is passed. */
#include "gossip/gossip.h"
#include "membership/fake_network.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <map>
#include <vector>

namespace pollenstall {
namespace {

constexpr double BudgetBytesPerSecond = 8192; // a host, at the design size
constexpr mono_duration Window = 30s;
constexpr int Trials = 5;
const gossip_secret Secret{"accra", "a shared key"};

struct fleet_size {
  std::size_t Hosts;
  std::size_t Engines;
};

/// @return The host that a trial stops or starts: no seed, and there in the smallest fleet.
std::size_t trialHost(int Trial) { return 3 + static_cast<std::size_t>(Trial) % 4; }

double cpuMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 + static_cast<double>(Time.tv_nsec) / 1e3;
}

double seconds(mono_duration Span) { return std::chrono::duration<double>(Span).count(); }

/// A fleet on the virtual network with what is measured of it.
class measured_fleet {
public:
  explicit measured_fleet(fleet_size Chosen)
      : Net(Chosen.Hosts * 1000 + Chosen.Engines), Size(Chosen) {
    Net.OnAction = [this](std::size_t Host, const membership_action &Action) {
      note(Host, Action);
    };
    Net.CallWrapper = [this](const std::function<void()> &Call) {
      const double Before = cpuMicroseconds();
      Call();
      Cpu += cpuMicroseconds() - Before;
    };
    const std::size_t Before = mallinfo2().uordblks;
    Net.addHosts(Size.Hosts);
    for (std::size_t Engine = 0; Engine < Size.Engines; ++Engine)
      Net.addBackend(Engine % 2 == 0);
    Net.runFor(60s);
    Memory = static_cast<double>(mallinfo2().uordblks - Before) / static_cast<double>(Size.Hosts);
  }

  /// Prints the figures at rest. @return Bytes a second of the average host.
  double rest() {
    Bytes.assign(Net.Hosts.size(), 0);
    Datagrams = 0;
    Cpu = 0;
    Net.runFor(Window);
    double Sum = 0;
    for (const double Host : Bytes)
      Sum += Host;
    const double Hosts = static_cast<double>(Size.Hosts) * seconds(Window);
    const double Most = *std::max_element(Bytes.begin(), Bytes.end()) / seconds(Window);
    const auto Ages = loadAges();
    std::printf(
        "{\"bench\":\"membership_rest\",\"hosts\":%zu,\"engines\":%zu,"
        "\"bytes_per_s\":%.0f,\"bytes_per_s_max_host\":%.0f,\"datagrams_per_s\":%.1f,"
        "\"cpu_us_per_s\":%.0f,\"memory_kb\":%.0f,\"load_age_p50_s\":%.2f,"
        "\"load_age_p99_s\":%.2f,\"lost\":%zu,\"unknown\":%zu,\"bound_bytes_per_s\":%.0f}\n",
        Size.Hosts, Size.Engines, Sum / Hosts, Most, Datagrams / Hosts, Cpu / Hosts, Memory / 1024,
        Ages.empty() ? 0 : Ages[Ages.size() / 2], Ages.empty() ? 0 : Ages[Ages.size() * 99 / 100],
        Lost, Size.Hosts * Size.Engines - Ages.size() - Lost, BudgetBytesPerSecond);
    std::fflush(stdout);
    return Sum / Hosts;
  }

  void changes() {
    report("engine_joins", [this](int) {
      const std::size_t Engine = Net.addBackend();
      Net.announceNow(Engine);
      return engineKnown(Engine, backend_status::Active);
    });
    report("engine_leaves", [this](int Trial) {
      const std::size_t Engine = static_cast<std::size_t>(Trial);
      Net.Backends[Engine].Announcement.Leaving = true;
      Net.announceNow(Engine);
      return engineKnown(Engine, backend_status::Leaving);
    });
    report("engine_dies", [this](int Trial) {
      const std::size_t Engine = static_cast<std::size_t>(Trials) + static_cast<std::size_t>(Trial);
      Net.Backends[Engine].Alive = false;
      return engineKnown(Engine, backend_status::Lost);
    });
    report("host_dies", [this](int Trial) {
      const std::size_t Host = trialHost(Trial);
      Net.stop(Host);
      return hostKnown(Host, host_status::Dead);
    });
    report("host_joins", [this](int Trial) {
      const std::size_t Host = trialHost(Trial);
      Net.start(Host);
      return hostKnown(Host, host_status::Alive);
    });
  }

private:
  using condition = std::function<bool()>;

  void note(std::size_t Host, const membership_action &Action) {
    if (const auto *Sent = std::get_if<send_message>(&Action))
      noteSent(Host, *Sent);
    if (const auto *Engine = std::get_if<backend_changed>(&Action))
      Engines[Engine->View.Announcement.Key][Host] = Engine->View.Status;
    if (const auto *Seen = std::get_if<host_changed>(&Action))
      Standings[Seen->View.Key][Host] = Seen->View.Status;
  }

  /// Counts the datagram with its headers, and the CPU of writing and reading it.
  void noteSent(std::size_t Host, const send_message &Sent) {
    const double Before = cpuMicroseconds();
    const std::string Datagram = encodeDatagram(Secret, Sent.Message);
    const auto Read = decodeDatagram(Secret, {Datagram.data(), Datagram.size()});
    requireInvariant(succeeded(Read), "a datagram is read back");
    Cpu += cpuMicroseconds() - Before;
    if (Bytes.size() > Host)
      Bytes[Host] += static_cast<double>(Datagram.size() + PacketBytes);
    ++Datagrams;
  }

  std::vector<double> loadAges() {
    std::vector<double> Ages;
    Lost = 0;
    for (std::size_t Host = 0; Host < Net.Hosts.size(); ++Host)
      for (const backend_view &View : Net.Hosts[Host].Process->views())
        if (View.Status == backend_status::Lost)
          ++Lost;
        else
          Ages.push_back(seconds(Net.now() - View.LoadReceivedAt));
    std::sort(Ages.begin(), Ages.end());
    return Ages;
  }

  condition engineKnown(std::size_t Engine, backend_status Wanted) {
    const backend_key Key = Net.Backends[Engine].Announcement.Key;
    return [this, Key, Wanted] { return everyone(Engines[Key], Wanted, Net.Hosts.size()); };
  }
  condition hostKnown(std::size_t Host, host_status Wanted) {
    const process_key Key = Net.Hosts[Host].Key;
    return [this, Key, Host, Wanted] { return everyone(Standings[Key], Wanted, Host); };
  }
  template <typename Standing>
  bool everyone(std::map<std::size_t, Standing> &Seen, Standing Wanted, std::size_t Except) {
    for (std::size_t Host = 0; Host < Net.Hosts.size(); ++Host)
      if (Host != Except && Net.running(Host)) {
        const auto Found = Seen.find(Host);
        if (Found == Seen.end() || Found->second != Wanted)
          return false;
      }
    return true;
  }

  template <typename Begin> void report(const char *Change, Begin BeginTrial) {
    std::vector<double> Times;
    int Missed = 0;
    for (int Trial = 0; Trial < Trials; ++Trial) {
      const condition Known = BeginTrial(Trial);
      const mono_time Start = Net.now();
      if (!Net.runUntil(Known, 60s, 10ms))
        ++Missed;
      Times.push_back(seconds(Net.now() - Start));
      if (std::strcmp(Change, "host_dies") == 0 && Trial < Trials - 1)
        Net.start(trialHost(Trial));
      if (std::strcmp(Change, "host_joins") == 0 && Trial < Trials - 1) {
        Net.stop(trialHost(Trial + 1));
        Net.runFor(1s);
      }
      Net.runFor(5s);
    }
    std::sort(Times.begin(), Times.end());
    std::printf("{\"bench\":\"membership_known\",\"change\":\"%s\",\"hosts\":%zu,\"engines\":%zu,"
                "\"trials\":%d,\"median_s\":%.2f,\"max_s\":%.2f,\"not_within_60s\":%d}\n",
                Change, Size.Hosts, Size.Engines, Trials, Times[Times.size() / 2], Times.back(),
                Missed);
    std::fflush(stdout);
  }

  fake_network Net;
  fleet_size Size;
  std::vector<double> Bytes;
  double Datagrams{0};
  double Cpu{0};
  double Memory{0};
  std::size_t Lost{0};
  std::map<backend_key, std::map<std::size_t, backend_status>> Engines;
  std::map<process_key, std::map<std::size_t, host_status>> Standings;
};

/// Least squares over the number of hosts.
double slope(const std::vector<std::pair<double, double>> &Points) {
  double MeanX = 0;
  double MeanY = 0;
  for (const auto &[X, Y] : Points) {
    MeanX += X / static_cast<double>(Points.size());
    MeanY += Y / static_cast<double>(Points.size());
  }
  double Above = 0;
  double Below = 0;
  for (const auto &[X, Y] : Points) {
    Above += (X - MeanX) * (Y - MeanY);
    Below += (X - MeanX) * (X - MeanX);
  }
  return Above / Below;
}

int run(const std::vector<std::size_t> &HostCounts, const std::vector<std::size_t> &EngineCounts) {
  bool WithinBudget = true;
  for (const std::size_t EngineCount : EngineCounts) {
    std::vector<std::pair<double, double>> Points;
    for (const std::size_t HostCount : HostCounts) {
      measured_fleet Fleet({HostCount, EngineCount});
      const double BytesPerSecond = Fleet.rest();
      Fleet.changes();
      Points.emplace_back(static_cast<double>(HostCount), BytesPerSecond);
      WithinBudget = WithinBudget && BytesPerSecond <= BudgetBytesPerSecond;
    }
    std::printf("{\"bench\":\"membership_slope\",\"engines\":%zu,\"bytes_per_s_per_host\":%.2f}\n",
                EngineCount, slope(Points));
  }
  return WithinBudget ? 0 : 1;
}

} // namespace
} // namespace pollenstall

/// `--quick` leaves out the large fleets, `--design` measures the design size only.
int main(int Count, char **Arguments) {
  const bool Quick = Count > 1 && std::strcmp(Arguments[1], "--quick") == 0;
  if (Count > 1 && std::strcmp(Arguments[1], "--design") == 0)
    return pollenstall::run({96, 320}, {650});
  if (Quick)
    return pollenstall::run({8, 32}, {24, 130});
  return pollenstall::run({8, 32, 96, 320}, {24, 130, 650});
}
