/** @file consensus_bench.cpp Figures of the replicated log: syncs, recovery, and the replica alone.
 */
#include "consensus/consensus.h"
#include "storage/storage.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <filesystem>

namespace pollenstall {
namespace {

constexpr std::size_t PayloadSize = 512; ///< About one change of a declaration.
constexpr std::size_t Members = 3;

/// A data folder under the system's temporary folder, removed at the end.
class bench_folder {
public:
  bench_folder() {
    std::string Pattern = (std::filesystem::temp_directory_path() / "bench-XXXXXX").string();
    Path = ::mkdtemp(Pattern.data());
    Options = {Path / "data", "bench", member_id(1), disk_identity(1), 4U << 20U};
  }
  ~bench_folder() { std::filesystem::remove_all(Path); }
  bench_folder(const bench_folder &) = delete;
  bench_folder &operator=(const bench_folder &) = delete;

  [[nodiscard]] std::unique_ptr<data_folder> open() const {
    auto Opened = data_folder::open(Options);
    requireInvariant(succeeded(Opened), "the bench's folder opens");
    return std::move(valueOf(Opened));
  }

private:
  std::filesystem::path Path;
  storage_options Options;
};

persist_log batchAfter(std::uint64_t Last, std::size_t Count) {
  persist_log Write;
  for (std::size_t Place = 1; Place <= Count; ++Place)
    Write.Entries.push_back({log_index(Last + Place), term_number(1), entry_kind::Command,
                             std::string(PayloadSize, 'x')});
  return Write;
}

/// Argument: entries that share one sync.
void appendAndSync(benchmark::State &State) {
  const bench_folder Place;
  const auto Folder = Place.open();
  const auto Batch = static_cast<std::size_t>(State.range(0));
  std::uint64_t Last = 0;
  for (auto Iteration : State) {
    (void)Iteration;
    const auto Written = Folder->write({batchAfter(Last, Batch)});
    requireInvariant(succeeded(Written), "the bench's write succeeds");
    Last += Batch;
  }
  State.SetItemsProcessed(static_cast<std::int64_t>(Last));
}
BENCHMARK(appendAndSync)->Arg(1)->Arg(16)->Arg(256)->UseRealTime()->Unit(benchmark::kMicrosecond);

/// Argument: entries in the log; a snapshot covers the first half of them.
void recover(benchmark::State &State) {
  const bench_folder Place;
  const auto Count = static_cast<std::uint64_t>(State.range(0));
  {
    persist_log Compact;
    Compact.Snapshot = std::make_shared<const log_snapshot>(
        log_snapshot{log_index(Count / 2),
                     term_number(1),
                     {cluster_id(1), {{{member_id(1), disk_identity(1)}, voting_status::Voter}}},
                     std::string(1U << 20U, 's')});
    const auto Written = Place.open()->write({batchAfter(0, Count), Compact});
    requireInvariant(succeeded(Written), "the bench's write succeeds");
  }
  const mono_time Start{std::chrono::hours(1)};
  for (auto Iteration : State) {
    (void)Iteration;
    const auto Folder = Place.open();
    replica_builder Builder(Folder->identity().Key);
    replica Replica = Builder.restored(std::move(Folder->restored())).build(Start);
    benchmark::DoNotOptimize(Replica.takeActions(Start));
  }
}
BENCHMARK(recover)->Arg(1000)->Arg(10000)->UseRealTime()->Unit(benchmark::kMillisecond);

/// Replicas that exchange messages at once over disks that take no time.
class instant_cluster {
public:
  instant_cluster() {
    std::vector<member_id> Peers;
    for (std::uint64_t Id = 1; Id <= Members; ++Id)
      Peers.emplace_back(Id);
    for (const member_id Id : Peers) {
      replica_builder Builder({Id, disk_identity(Id.value())});
      Builder.peers(Peers).seed(Id.value());
      if (Id == member_id(1))
        Builder.bootstrapCluster(cluster_id(1));
      Replicas.push_back(Builder.build(Now));
    }
  }

  /// @return The leader's place, once there is one.
  std::size_t elect() {
    while (true) {
      Now += std::chrono::milliseconds(50);
      for (std::size_t Place = 0; Place < Members; ++Place)
        Replicas[Place].tick(Now);
      settle();
      for (std::size_t Place = 0; Place < Members; ++Place)
        if (Replicas[Place].leaseValid(Now))
          return Place;
    }
  }

  replica &at(std::size_t Place) { return Replicas[Place]; }

  /// Carries out actions until there are none; a burst of entries travels as batches.
  void settle() {
    do {
      for (std::size_t Place = 0; Place < Members; ++Place)
        performAction(Place);
    } while (deliver());
  }

  std::uint64_t Applied{0};
  mono_time Now{std::chrono::hours(1)};

private:
  void performAction(std::size_t Place) {
    for (consensus_action &Action : Replicas[Place].takeActions(Now)) {
      if (auto *Send = std::get_if<send_to_member>(&Action))
        Messages.push_back(std::move(Send->Message));
      else if (const auto *Write = std::get_if<persist_log>(&Action))
        Synced.emplace_back(Place, Write->Number);
      else if (std::holds_alternative<apply_entry>(Action))
        ++Applied;
      else if (const auto *Take = std::get_if<take_snapshot>(&Action))
        Replicas[Place].snapshotTaken(Take->Index, "state", Now);
    }
  }

  bool deliver() {
    const bool Any = !Messages.empty() || !Synced.empty();
    for (const auto &[Place, Number] : std::exchange(Synced, {}))
      Replicas[Place].persisted(Number, Now);
    for (consensus_message &Message : std::exchange(Messages, {})) {
      replica &Receiver = Replicas[Message.To.Member.value() - 1];
      Receiver.receive(std::move(Message), Now);
    }
    return Any;
  }

  std::vector<replica> Replicas;
  std::vector<consensus_message> Messages;
  std::vector<std::pair<std::size_t, persist_number>> Synced;
};

/// Argument: proposals that arrive together. Counts entries committed and applied on all members.
void replicate(benchmark::State &State) {
  instant_cluster Cluster;
  const std::size_t Leader = Cluster.elect();
  const std::string Payload(PayloadSize, 'x');
  std::int64_t Proposed = 0;
  for (auto Iteration : State) {
    (void)Iteration;
    for (std::int64_t Place = 0; Place < State.range(0); ++Place)
      Proposed += succeeded(Cluster.at(Leader).propose(Payload, Cluster.Now)) ? 1 : 0;
    Cluster.settle();
  }
  requireInvariant(Cluster.Applied >= Members * static_cast<std::uint64_t>(Proposed),
                   "every member has applied every proposal");
  State.SetItemsProcessed(Proposed);
}
BENCHMARK(replicate)->Arg(1)->Arg(256)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace pollenstall

BENCHMARK_MAIN();
