/** @file data_folder.cpp Opening, checking and writing a member's data folder. */
#include "storage/data_folder_base.h"

#include "storage/folder_meta_func.h"
#include "storage/log_files_base.h"
#include "storage/snapshot_files_base.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>

namespace pollenstall {

namespace {
constexpr std::uint64_t FirstIndex = 1;
} // namespace

struct data_folder::impl {
  impl(const storage_options &NewOptions, file_system SystemCalls)
      : Options(NewOptions), FileSystem(std::move(SystemCalls)),
        Log(FileSystem, Options.Folder, Options.SegmentBytes),
        Snapshots(FileSystem, Options.Folder) {}

  storage_result lock();
  storage_result loadIdentity();
  storage_result initialize();
  storage_result load();
  storage_result checkLogFitsSnapshot();
  storage_result execute(const persist_log &Write);
  storage_result storeSnapshot(const persist_log &Write);

  storage_options Options;
  file_system FileSystem;
  file_handle Lock;
  folder_identity Identity;
  restored_log Restored;
  log_files Log;
  snapshot_files Snapshots;
  std::vector<std::string> Repairs;
  std::optional<storage_error> Failed; ///< The first failed write; no later write is attempted.
};

storage_result data_folder::impl::lock() {
  std::error_code Error;
  std::filesystem::create_directories(Options.Folder, Error);
  if (Error)
    return file_failure{"create", Options.Folder, Error.value()};
  auto Opened = openFile(Options.Folder / "lock", O_RDWR | O_CREAT);
  if (!succeeded(Opened))
    return errorOf(Opened);
  Lock = std::move(valueOf(Opened));
  if (::flock(Lock.descriptor(), LOCK_EX | LOCK_NB) == 0)
    return done{};
  if (errno == EWOULDBLOCK)
    return folder_in_use{Options.Folder};
  return errorFromErrno("lock", Options.Folder);
}

storage_result data_folder::impl::loadIdentity() {
  auto ReadResult = readIdentity(Options.Folder);
  if (!succeeded(ReadResult))
    return errorOf(ReadResult);
  if (!valueOf(ReadResult))
    return initialize();
  Identity = *valueOf(ReadResult);
  const bool OtherMember = Options.Member != member_id() && Identity.Key.Member != Options.Member;
  if (Identity.Fleet != Options.Fleet || OtherMember)
    return foreign_folder{Identity};
  return done{};
}

storage_result data_folder::impl::initialize() {
  std::error_code Error;
  for (const auto &File : std::filesystem::directory_iterator(Options.Folder, Error)) {
    const std::string Name = File.path().filename().string();
    if (log_segment::firstIndexFromName(Name) || snapshot_files::indexFromName(Name))
      return corrupt_file{Options.Folder / "identity", 0,
                          "the file is missing, but the folder contains a log"};
  }
  auto Meta = writeHardState(FileSystem, Options.Folder, {});
  if (!succeeded(Meta))
    return Meta;
  // The identity is written last, so a folder with an identity file is complete.
  const bool MemberIdFromDisk = Options.Member == member_id();
  Identity = {Options.Fleet,
              {MemberIdFromDisk ? member_id(Options.NewDiskIdentity.value()) : Options.Member,
               Options.NewDiskIdentity}};
  return writeIdentity(FileSystem, Options.Folder, Identity);
}

storage_result data_folder::impl::load() {
  const auto Hard = readHardState(Options.Folder);
  if (!succeeded(Hard))
    return errorOf(Hard);
  Restored.Hard = valueOf(Hard);
  auto SnapshotsOpened = Snapshots.open(Repairs);
  if (!succeeded(SnapshotsOpened))
    return SnapshotsOpened;
  Restored.Snapshot = Snapshots.newest();
  auto ReadResult = Log.open(Restored.Entries, Repairs);
  if (!succeeded(ReadResult))
    return ReadResult;
  return checkLogFitsSnapshot();
}

storage_result data_folder::impl::checkLogFitsSnapshot() {
  if (Restored.Entries.empty())
    return Log.removeAll();
  const log_index First = Restored.Entries.front().Index;
  const log_snapshot *Snapshot = Restored.Snapshot.get();
  const std::uint64_t FirstNeeded = Snapshot != nullptr ? Snapshot->Index.value() + 1 : FirstIndex;
  if (First.value() > FirstNeeded)
    return corrupt_file{Options.Folder, 0, "entries are missing between the snapshot and the log"};
  if (Snapshot == nullptr)
    return done{};
  const std::uint64_t SnapshotOffset = Snapshot->Index.value() - First.value();
  const bool LogFollowsSnapshot = First > Snapshot->Index;
  const bool LogMatchesSnapshot = SnapshotOffset < Restored.Entries.size() &&
                                  Restored.Entries[SnapshotOffset].Term == Snapshot->Term;
  if (LogFollowsSnapshot || LogMatchesSnapshot)
    return done{};
  // The process crashed after it stored an installed snapshot and before it removed the replaced
  // log.
  Restored.Entries.clear();
  return Log.removeAll();
}

storage_result data_folder::impl::storeSnapshot(const persist_log &Write) {
  auto Stored = Snapshots.store(Write.Snapshot);
  if (!succeeded(Stored))
    return Stored;
  if (!Write.ResetLog)
    return Log.compactTo(std::min(Write.CompactTo, Snapshots.compactionLimit()));
  const auto Removed = Log.removeAll();
  return succeeded(Removed) ? Snapshots.removeOlder() : Removed;
}

storage_result data_folder::impl::execute(const persist_log &Write) {
  storage_result Result = done{};
  if (Write.Hard)
    Result = writeHardState(FileSystem, Options.Folder, *Write.Hard);
  if (succeeded(Result) && Write.Snapshot)
    Result = storeSnapshot(Write);
  if (succeeded(Result) && Write.TruncateFrom)
    Result = Log.truncateFrom(*Write.TruncateFrom);
  if (succeeded(Result))
    Result = Log.append(Write.Entries);
  return Result;
}

data_folder::data_folder(std::unique_ptr<impl> Opened) : Impl(std::move(Opened)) {}
data_folder::~data_folder() = default;

result<std::unique_ptr<data_folder>, storage_error>
data_folder::open(const storage_options &Options, file_system FileSystem) {
  auto Opened = std::make_unique<impl>(Options, std::move(FileSystem));
  storage_result Result = Opened->lock();
  if (succeeded(Result))
    Result = Opened->loadIdentity();
  if (succeeded(Result))
    Result = Opened->load();
  if (!succeeded(Result))
    return errorOf(Result);
  return std::unique_ptr<data_folder>(new data_folder(std::move(Opened)));
}

const folder_identity &data_folder::identity() const { return Impl->Identity; }
restored_log &data_folder::restored() { return Impl->Restored; }
const std::vector<std::string> &data_folder::repairs() const { return Impl->Repairs; }

result<done, storage_error> data_folder::write(const std::vector<persist_log> &Batch) {
  if (Impl->Failed)
    return *Impl->Failed;
  storage_result Result = done{};
  for (const persist_log &Write : Batch) {
    Result = Impl->execute(Write);
    if (!succeeded(Result))
      break;
  }
  if (succeeded(Result))
    Result = Impl->Log.sync();
  // After a failed sync the kernel may have dropped the dirty pages, and a later sync would succeed
  // without them. So this object refuses all later writes.
  if (!succeeded(Result))
    Impl->Failed = errorOf(Result);
  return Result;
}

bool isWritable(const std::filesystem::path &Folder) {
  constexpr std::size_t ProbeBytes = 64U << 10U;
  const std::filesystem::path Probe = Folder / "probe.tmp";
  const std::string Bytes(ProbeBytes, 'x');
  bool Writable = false;
  {
    std::error_code Ignored;
    std::filesystem::create_directories(Folder, Ignored);
    auto File = openFile(Probe, O_WRONLY | O_CREAT | O_TRUNC);
    if (succeeded(File)) {
      const int FileDescriptor = valueOf(File).descriptor();
      const auto Size = static_cast<ssize_t>(Bytes.size());
      Writable = ::write(FileDescriptor, Bytes.data(), Bytes.size()) == Size &&
                 ::fdatasync(FileDescriptor) == 0;
    }
  }
  std::error_code Ignored;
  std::filesystem::remove(Probe, Ignored);
  return Writable;
}

} // namespace pollenstall
