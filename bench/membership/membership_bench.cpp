/** @file membership_bench.cpp Measures traffic, CPU time and memory per host, and the time until a
 * change has reached all hosts, for several fleet sizes. Prints JSON lines; exits with 1 if the
 * traffic budget is exceeded. */
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

constexpr double BudgetBytesPerSecond = 8192; // per host, at the design size
constexpr mono_duration MeasurementTime = 30s;
constexpr int TrialCount = 5;
const gossip_secret Secret{"accra", "a shared key"};

struct fleet_size {
  std::size_t Hosts;
  std::size_t Engines;
};

/// Returns the host that a trial stops or starts. It is not a seed and exists in the smallest
/// fleet.
std::size_t trialHost(int Trial) { return 3 + static_cast<std::size_t>(Trial) % 4; }

double cpuMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 + static_cast<double>(Time.tv_nsec) / 1e3;
}

double seconds(mono_duration Duration) { return std::chrono::duration<double>(Duration).count(); }

/// A fleet on a virtual network together with its measurements.
class measured_fleet {
public:
  explicit measured_fleet(fleet_size InitialSize)
      : Net(InitialSize.Hosts * 1000 + InitialSize.Engines), Size(InitialSize) {
    Net.OnAction = [this](std::size_t Host, const membership_action &Action) {
      recordAction(Host, Action);
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

  /// Measures a fleet without changes and prints the results. @return Mean bytes per second and
  /// host.
  double measureAtRest() {
    Bytes.assign(Net.Hosts.size(), 0);
    Datagrams = 0;
    Cpu = 0;
    Net.runFor(MeasurementTime);
    double TotalBytes = 0;
    for (const double HostBytes : Bytes)
      TotalBytes += HostBytes;
    const double HostSeconds = static_cast<double>(Size.Hosts) * seconds(MeasurementTime);
    const double MaxBytesPerSecond =
        *std::max_element(Bytes.begin(), Bytes.end()) / seconds(MeasurementTime);
    const auto Ages = loadAges();
    std::printf(
        "{\"bench\":\"membership_rest\",\"hosts\":%zu,\"engines\":%zu,"
        "\"bytes_per_s\":%.0f,\"bytes_per_s_max_host\":%.0f,\"datagrams_per_s\":%.1f,"
        "\"cpu_us_per_s\":%.0f,\"memory_kb\":%.0f,\"load_age_p50_s\":%.2f,"
        "\"load_age_p99_s\":%.2f,\"lost\":%zu,\"unknown\":%zu,\"bound_bytes_per_s\":%.0f}\n",
        Size.Hosts, Size.Engines, TotalBytes / HostSeconds, MaxBytesPerSecond,
        Datagrams / HostSeconds, Cpu / HostSeconds, Memory / 1024,
        Ages.empty() ? 0 : Ages[Ages.size() / 2], Ages.empty() ? 0 : Ages[Ages.size() * 99 / 100],
        LostEngineViews, Size.Hosts * Size.Engines - Ages.size() - LostEngineViews,
        BudgetBytesPerSecond);
    std::fflush(stdout);
    return TotalBytes / HostSeconds;
  }

  void measureChanges() {
    measureChange("engine_joins", [this](int) {
      const std::size_t Engine = Net.addBackend();
      Net.announceNow(Engine);
      return engineStatusKnown(Engine, backend_status::Active);
    });
    measureChange("engine_leaves", [this](int Trial) {
      const std::size_t Engine = static_cast<std::size_t>(Trial);
      Net.Backends[Engine].Announcement.Leaving = true;
      Net.announceNow(Engine);
      return engineStatusKnown(Engine, backend_status::Leaving);
    });
    measureChange("engine_dies", [this](int Trial) {
      const std::size_t Engine =
          static_cast<std::size_t>(TrialCount) + static_cast<std::size_t>(Trial);
      Net.Backends[Engine].Alive = false;
      return engineStatusKnown(Engine, backend_status::Lost);
    });
    measureChange("host_dies", [this](int Trial) {
      const std::size_t Host = trialHost(Trial);
      Net.stop(Host);
      return hostStatusKnown(Host, host_status::Dead);
    });
    measureChange("host_joins", [this](int Trial) {
      const std::size_t Host = trialHost(Trial);
      Net.start(Host);
      return hostStatusKnown(Host, host_status::Alive);
    });
  }

private:
  using condition = std::function<bool()>;

  void recordAction(std::size_t Host, const membership_action &Action) {
    if (const auto *SentMessage = std::get_if<send_message>(&Action))
      recordSent(Host, *SentMessage);
    if (const auto *EngineChange = std::get_if<backend_changed>(&Action))
      Engines[EngineChange->View.Announcement.Key][Host] = EngineChange->View.Status;
    if (const auto *HostChange = std::get_if<host_changed>(&Action))
      HostStatuses[HostChange->View.Key][Host] = HostChange->View.Status;
  }

  /// Counts the size of a datagram with its headers and the CPU time to encode and decode it.
  void recordSent(std::size_t Host, const send_message &SentMessage) {
    const double Before = cpuMicroseconds();
    const std::string Datagram = encodeDatagram(Secret, SentMessage.Message);
    const auto Decoded = decodeDatagram(Secret, {Datagram.data(), Datagram.size()});
    requireInvariant(succeeded(Decoded), "an encoded datagram can be decoded");
    Cpu += cpuMicroseconds() - Before;
    if (Bytes.size() > Host)
      Bytes[Host] += static_cast<double>(Datagram.size() + PacketBytes);
    ++Datagrams;
  }

  std::vector<double> loadAges() {
    std::vector<double> Ages;
    LostEngineViews = 0;
    for (std::size_t Host = 0; Host < Net.Hosts.size(); ++Host)
      for (const backend_view &View : Net.Hosts[Host].Process->views())
        if (View.Status == backend_status::Lost)
          ++LostEngineViews;
        else
          Ages.push_back(seconds(Net.now() - View.LoadReportedAt));
    std::sort(Ages.begin(), Ages.end());
    return Ages;
  }

  condition engineStatusKnown(std::size_t Engine, backend_status Expected) {
    const backend_key Key = Net.Backends[Engine].Announcement.Key;
    return [this, Key, Expected] { return allHostsSee(Engines[Key], Expected, Net.Hosts.size()); };
  }
  condition hostStatusKnown(std::size_t Host, host_status Expected) {
    const process_key Key = Net.Hosts[Host].Key;
    return [this, Key, Host, Expected] { return allHostsSee(HostStatuses[Key], Expected, Host); };
  }
  template <typename StatusType>
  bool allHostsSee(std::map<std::size_t, StatusType> &Statuses, StatusType Expected,
                   std::size_t ExcludedHost) {
    for (std::size_t Host = 0; Host < Net.Hosts.size(); ++Host)
      if (Host != ExcludedHost && Net.running(Host)) {
        const auto Found = Statuses.find(Host);
        if (Found == Statuses.end() || Found->second != Expected)
          return false;
      }
    return true;
  }

  template <typename BeginFunction>
  void measureChange(const char *Change, BeginFunction BeginTrial) {
    std::vector<double> Times;
    int MissedTrials = 0;
    for (int Trial = 0; Trial < TrialCount; ++Trial) {
      const condition IsKnown = BeginTrial(Trial);
      const mono_time Start = Net.now();
      if (!Net.runUntil(IsKnown, 60s, 10ms))
        ++MissedTrials;
      Times.push_back(seconds(Net.now() - Start));
      if (std::strcmp(Change, "host_dies") == 0 && Trial < TrialCount - 1)
        Net.start(trialHost(Trial));
      if (std::strcmp(Change, "host_joins") == 0 && Trial < TrialCount - 1) {
        Net.stop(trialHost(Trial + 1));
        Net.runFor(1s);
      }
      Net.runFor(5s);
    }
    std::sort(Times.begin(), Times.end());
    std::printf("{\"bench\":\"membership_known\",\"change\":\"%s\",\"hosts\":%zu,\"engines\":%zu,"
                "\"trials\":%d,\"median_s\":%.2f,\"max_s\":%.2f,\"not_within_60s\":%d}\n",
                Change, Size.Hosts, Size.Engines, TrialCount, Times[Times.size() / 2], Times.back(),
                MissedTrials);
    std::fflush(stdout);
  }

  fake_network Net;
  fleet_size Size;
  std::vector<double> Bytes;
  double Datagrams{0};
  double Cpu{0};
  double Memory{0};
  std::size_t LostEngineViews{0};
  std::map<backend_key, std::map<std::size_t, backend_status>> Engines;
  std::map<process_key, std::map<std::size_t, host_status>> HostStatuses;
};

/// Returns the slope of a least-squares fit.
double slope(const std::vector<std::pair<double, double>> &Points) {
  double MeanX = 0;
  double MeanY = 0;
  for (const auto &[X, Y] : Points) {
    MeanX += X / static_cast<double>(Points.size());
    MeanY += Y / static_cast<double>(Points.size());
  }
  double Numerator = 0;
  double Denominator = 0;
  for (const auto &[X, Y] : Points) {
    Numerator += (X - MeanX) * (Y - MeanY);
    Denominator += (X - MeanX) * (X - MeanX);
  }
  return Numerator / Denominator;
}

int run(const std::vector<std::size_t> &HostCounts, const std::vector<std::size_t> &EngineCounts) {
  bool WithinBudget = true;
  for (const std::size_t EngineCount : EngineCounts) {
    std::vector<std::pair<double, double>> Points;
    for (const std::size_t HostCount : HostCounts) {
      measured_fleet Fleet({HostCount, EngineCount});
      const double BytesPerSecond = Fleet.measureAtRest();
      Fleet.measureChanges();
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

/// `--quick` skips the large fleets; `--design` measures only the design size.
int main(int Count, char **Arguments) {
  const bool Quick = Count > 1 && std::strcmp(Arguments[1], "--quick") == 0;
  if (Count > 1 && std::strcmp(Arguments[1], "--design") == 0)
    return pollenstall::run({96, 320}, {650});
  if (Quick)
    return pollenstall::run({8, 32}, {24, 130});
  return pollenstall::run({8, 32, 96, 320}, {24, 130, 650});
}
