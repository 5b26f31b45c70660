/** @file consensus_bench.cpp Benchmarks of the replicated log: syncs, recovery, and replication
 * without disk or network. */
#include "consensus/consensus.h"
#include "storage/storage.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <filesystem>

namespace pollenstall {
namespace {

constexpr std::size_t PayloadSize = 512; ///< Approximate size of one declaration change.
constexpr std::size_t MemberCount = 3;

/// Creates a data folder in the system's temporary directory and removes it on destruction.
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
    requireInvariant(succeeded(Opened), "the benchmark's data folder can be opened");
    return std::move(valueOf(Opened));
  }

private:
  std::filesystem::path Path;
  storage_options Options;
};

persist_log makeBatch(std::uint64_t LastIndex, std::size_t Count) {
  persist_log PersistRequest;
  for (std::size_t Offset = 1; Offset <= Count; ++Offset)
    PersistRequest.Entries.push_back({log_index(LastIndex + Offset), term_number(1),
                                      entry_kind::Command, std::string(PayloadSize, 'x')});
  return PersistRequest;
}

/// Measures appending and syncing log entries. Argument: entries per sync.
void appendAndSync(benchmark::State &State) {
  const bench_folder TempFolder;
  const auto Folder = TempFolder.open();
  const auto Batch = static_cast<std::size_t>(State.range(0));
  std::uint64_t LastIndex = 0;
  for (auto Iteration : State) {
    (void)Iteration;
    const auto Written = Folder->write({makeBatch(LastIndex, Batch)});
    requireInvariant(succeeded(Written), "the benchmark's write succeeds");
    LastIndex += Batch;
  }
  State.SetItemsProcessed(static_cast<std::int64_t>(LastIndex));
}
BENCHMARK(appendAndSync)->Arg(1)->Arg(16)->Arg(256)->UseRealTime()->Unit(benchmark::kMicrosecond);

/// Measures recovery from disk. Argument: entries in the log; a snapshot covers the first half of
/// them.
void recover(benchmark::State &State) {
  const bench_folder TempFolder;
  const auto Count = static_cast<std::uint64_t>(State.range(0));
  {
    persist_log SnapshotWrite;
    SnapshotWrite.Snapshot = std::make_shared<const log_snapshot>(
        log_snapshot{log_index(Count / 2),
                     term_number(1),
                     {cluster_id(1), {{{member_id(1), disk_identity(1)}, voting_status::Voter}}},
                     std::string(1U << 20U, 's')});
    const auto Written = TempFolder.open()->write({makeBatch(0, Count), SnapshotWrite});
    requireInvariant(succeeded(Written), "the benchmark's write succeeds");
  }
  const mono_time Start{std::chrono::hours(1)};
  for (auto Iteration : State) {
    (void)Iteration;
    const auto Folder = TempFolder.open();
    replica_builder Builder(Folder->identity().Key);
    replica Replica = Builder.restored(std::move(Folder->restored())).build(Start);
    benchmark::DoNotOptimize(Replica.takeActions(Start));
  }
}
BENCHMARK(recover)->Arg(1000)->Arg(10000)->UseRealTime()->Unit(benchmark::kMillisecond);

/// Replicas with instant message delivery and instant disk writes.
class instant_cluster {
public:
  instant_cluster() {
    std::vector<member_id> MemberIds;
    for (std::uint64_t Id = 1; Id <= MemberCount; ++Id)
      MemberIds.emplace_back(Id);
    for (const member_id Id : MemberIds) {
      replica_builder Builder({Id, disk_identity(Id.value())});
      Builder.peers(MemberIds).seed(Id.value());
      if (Id == member_id(1))
        Builder.bootstrapCluster(cluster_id(1));
      Replicas.push_back(Builder.build(Now));
    }
  }

  /// Runs ticks until a leader is elected. @return Index of the leader.
  std::size_t electLeader() {
    while (true) {
      Now += std::chrono::milliseconds(50);
      for (std::size_t MemberIndex = 0; MemberIndex < MemberCount; ++MemberIndex)
        Replicas[MemberIndex].tick(Now);
      runUntilIdle();
      for (std::size_t MemberIndex = 0; MemberIndex < MemberCount; ++MemberIndex)
        if (Replicas[MemberIndex].leaseValid(Now))
          return MemberIndex;
    }
  }

  replica &replicaAt(std::size_t MemberIndex) { return Replicas[MemberIndex]; }

  /// Performs actions until none is left. Entries proposed together are sent in batches.
  void runUntilIdle() {
    do {
      for (std::size_t MemberIndex = 0; MemberIndex < MemberCount; ++MemberIndex)
        performActions(MemberIndex);
    } while (deliverMessages());
  }

  std::uint64_t Applied{0};
  mono_time Now{std::chrono::hours(1)};

private:
  void performActions(std::size_t MemberIndex) {
    for (consensus_action &Action : Replicas[MemberIndex].takeActions(Now)) {
      if (auto *Send = std::get_if<send_to_member>(&Action))
        Messages.push_back(std::move(Send->Message));
      else if (const auto *PersistRequest = std::get_if<persist_log>(&Action))
        PersistedWrites.emplace_back(MemberIndex, PersistRequest->Number);
      else if (std::holds_alternative<apply_entry>(Action))
        ++Applied;
      else if (const auto *SnapshotRequest = std::get_if<take_snapshot>(&Action))
        Replicas[MemberIndex].snapshotTaken(SnapshotRequest->Index, "state", Now);
    }
  }

  bool deliverMessages() {
    const bool HasWork = !Messages.empty() || !PersistedWrites.empty();
    for (const auto &[MemberIndex, Number] : std::exchange(PersistedWrites, {}))
      Replicas[MemberIndex].persisted(Number, Now);
    for (consensus_message &Message : std::exchange(Messages, {})) {
      replica &Receiver = Replicas[Message.To.Member.value() - 1];
      Receiver.receive(std::move(Message), Now);
    }
    return HasWork;
  }

  std::vector<replica> Replicas;
  std::vector<consensus_message> Messages;
  std::vector<std::pair<std::size_t, persist_number>> PersistedWrites;
};

/// Measures entries that are committed and applied on all members. Argument: proposals per batch.
void replicate(benchmark::State &State) {
  instant_cluster Cluster;
  const std::size_t Leader = Cluster.electLeader();
  const std::string Payload(PayloadSize, 'x');
  std::int64_t Proposed = 0;
  for (auto Iteration : State) {
    (void)Iteration;
    for (std::int64_t Proposal = 0; Proposal < State.range(0); ++Proposal)
      Proposed += succeeded(Cluster.replicaAt(Leader).propose(Payload, Cluster.Now)) ? 1 : 0;
    Cluster.runUntilIdle();
  }
  requireInvariant(Cluster.Applied >= MemberCount * static_cast<std::uint64_t>(Proposed),
                   "every member has applied all proposals");
  State.SetItemsProcessed(Proposed);
}
BENCHMARK(replicate)->Arg(1)->Arg(256)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace pollenstall

BENCHMARK_MAIN();
