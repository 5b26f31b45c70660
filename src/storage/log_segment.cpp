/** @file log_segment.cpp Reading, appending to and cutting one file of the log. */
#include "storage/log_segment_base.h"

#include "core/core.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace pollenstall {

namespace {

constexpr std::string_view NamePrefix = "log-";
constexpr std::size_t SectorSize = 512;

std::string fileNameOf(log_index First) {
  std::array<char, 32> Name{};
  std::snprintf(Name.data(), Name.size(), "log-%020llu",
                static_cast<unsigned long long>(First.value()));
  return Name.data();
}

/// @return Whether some sector of the file, as far as it lies in [From, To), holds only zeros.
bool hasUnwrittenSector(std::string_view Bytes, std::size_t From, std::size_t To) {
  while (From < To) {
    const std::size_t End = std::min(To, (From / SectorSize + 1) * SectorSize);
    const std::string_view Sector = Bytes.substr(From, End - From);
    if (std::all_of(Sector.begin(), Sector.end(), [](char Byte) { return Byte == 0; }))
      return true;
    From = End;
  }
  return false;
}

/// @return Whether a later record shows that Offset was synced once.
bool wasSynced(std::string_view Bytes, std::size_t Offset) {
  for (std::size_t Place = Offset + 1; Place + RecordHeaderSize <= Bytes.size(); ++Place) {
    const read_record Later = readRecord(Bytes.substr(Place));
    if (Later.Status == record_status::Valid && Later.SyncedTo > Offset)
      return true;
  }
  return false;
}

/**
 * A crash leaves records that were never synced: the file ends early, or a sector that did not
 * reach the disk reads as zeros. Everything else was whole once and has changed since; to cut it
 * off would silently take back entries that were acknowledged.
 */
bool isTorn(std::string_view Bytes, std::size_t Offset, const read_record &Record) {
  if (wasSynced(Bytes, Offset))
    return false;
  if (Record.Status == record_status::Truncated)
    return true;
  const std::size_t Checked = Record.Size != 0 ? Record.Size : RecordHeaderSize;
  return hasUnwrittenSector(Bytes, Offset, std::min(Bytes.size(), Offset + Checked));
}

} // namespace

log_segment::log_segment(std::filesystem::path Where, log_index FirstIndex, file_handle Opened)
    : Path(std::move(Where)), First(FirstIndex), File(std::move(Opened)) {}

std::optional<log_index> log_segment::firstIndexFromName(const std::string &Name) {
  if (Name.compare(0, NamePrefix.size(), NamePrefix) != 0)
    return std::nullopt;
  const auto First = parseNumber<std::uint64_t>(std::string_view(Name).substr(NamePrefix.size()));
  return First ? std::optional(log_index(*First)) : std::nullopt;
}

result<log_segment, storage_error> log_segment::create(const file_system &FileSystem,
                                                       const std::filesystem::path &Folder,
                                                       log_index First) {
  const std::filesystem::path Path = Folder / fileNameOf(First);
  auto Opened = openFile(Path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
  if (!succeeded(Opened))
    return errorOf(Opened);
  const auto Synced = syncFolder(FileSystem, Folder);
  if (!succeeded(Synced))
    return errorOf(Synced);
  return log_segment(Path, First, std::move(valueOf(Opened)));
}

result<log_segment::open_result, storage_error> log_segment::open(const file_system &FileSystem,
                                                                  const std::filesystem::path &Path,
                                                                  log_index First, bool IsLast) {
  auto Read = readEntireFile(Path);
  if (!succeeded(Read))
    return errorOf(Read);
  auto File = openFile(Path, O_WRONLY | O_APPEND);
  if (!succeeded(File))
    return errorOf(File);
  open_result Opened{log_segment(Path, First, std::move(valueOf(File))), {}, 0};
  const std::string_view Bytes = valueOf(Read);
  std::size_t Offset = 0;
  while (Offset < Bytes.size()) {
    read_record Record = readRecord(Bytes.substr(Offset));
    if (Record.Status != record_status::Valid) {
      if (!IsLast || !isTorn(Bytes, Offset, Record))
        return corrupt_file{Path, Offset, "a record's checksum does not fit"};
      break;
    }
    if (Record.Entry.Index != Opened.Segment.last().next())
      return corrupt_file{Path, Offset, "an index is out of order"};
    Opened.Segment.Offsets.push_back(Offset);
    Opened.Entries.push_back(std::move(Record.Entry));
    Offset += Record.Size;
  }
  Opened.TruncatedBytes = Bytes.size() - Offset;
  const auto Cut = Opened.Segment.truncateTo(FileSystem, Offset);
  if (!succeeded(Cut))
    return errorOf(Cut);
  return Opened;
}

storage_result log_segment::append(const file_system &FileSystem, const log_entry *Begin,
                                   const log_entry *End) {
  std::string Bytes;
  std::vector<std::uint64_t> Starts;
  for (const log_entry *Entry = Begin; Entry != End; ++Entry) {
    Starts.push_back(Size + Bytes.size());
    appendRecord(Bytes, *Entry, Synced);
  }
  auto Written = writeAll(FileSystem, File, Bytes, Path);
  if (!succeeded(Written)) {
    // What was written of the records goes again, so that a full disk leaves a whole file behind;
    // where even that fails, the next opening cuts them as a torn tail.
    (void)FileSystem.Truncate(File.descriptor(), static_cast<off_t>(Size));
    return Written;
  }
  Size += Bytes.size();
  Offsets.insert(Offsets.end(), Starts.begin(), Starts.end());
  return done{};
}

storage_result log_segment::sync(const file_system &FileSystem) {
  if (FileSystem.SyncData(File.descriptor()) != 0)
    return errorFromErrno("sync", Path);
  Synced = Size;
  return done{};
}

storage_result log_segment::truncateTo(const file_system &FileSystem, std::uint64_t Length) {
  // Synced at once: old records behind new, unsynced ones would look like a broken middle.
  if (FileSystem.Truncate(File.descriptor(), static_cast<off_t>(Length)) != 0)
    return errorFromErrno("truncate", Path);
  Size = Length;
  return sync(FileSystem);
}

storage_result log_segment::truncateFrom(const file_system &FileSystem, log_index Index) {
  const std::size_t Kept = Index.value() - First.value();
  if (Kept >= Offsets.size())
    return done{};
  const std::uint64_t Length = Offsets[Kept];
  Offsets.resize(Kept);
  return truncateTo(FileSystem, Length);
}

} // namespace pollenstall
