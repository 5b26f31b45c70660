/** @file log_files.cpp The log as a row of segments. */
#include "storage/log_files_base.h"

#include <map>
#include <system_error>

namespace pollenstall {

storage_result log_files::open(std::vector<log_entry> &Entries, std::vector<std::string> &Repairs) {
  std::map<log_index, std::filesystem::path> Paths;
  std::error_code Error;
  for (const auto &File : std::filesystem::directory_iterator(Folder, Error)) {
    const auto First = log_segment::firstIndexFromName(File.path().filename().string());
    if (First)
      Paths.emplace(*First, File.path());
  }
  if (Error)
    return file_failure{"list", Folder, Error.value()};
  for (const auto &[First, Path] : Paths) {
    if (!Segments.empty() && First != Segments.back().last().next())
      return corrupt_file{Path, 0, "entries are missing before this segment"};
    const bool IsLast = First == Paths.rbegin()->first;
    auto Opened = log_segment::open(FileSystem, Path, First, IsLast);
    if (!succeeded(Opened))
      return errorOf(Opened);
    log_segment::open_result &Read = valueOf(Opened);
    if (Read.TruncatedBytes != 0)
      Repairs.push_back("cut " + std::to_string(Read.TruncatedBytes) +
                        " bytes of a torn tail off " + Path.string());
    std::move(Read.Entries.begin(), Read.Entries.end(), std::back_inserter(Entries));
    Segments.push_back(std::move(Read.Segment));
  }
  return done{};
}

storage_result log_files::rollOver(log_index First) {
  // Only the last segment may be torn, so the one before it is synced first.
  auto Synced = sync();
  if (!succeeded(Synced))
    return Synced;
  auto Created = log_segment::create(FileSystem, Folder, First);
  if (!succeeded(Created))
    return errorOf(Created);
  Segments.push_back(std::move(valueOf(Created)));
  return done{};
}

storage_result log_files::append(const std::vector<log_entry> &Entries) {
  const log_entry *Next = Entries.data();
  const log_entry *End = Next + Entries.size();
  while (Next != End) {
    const bool Full = Segments.empty() || Segments.back().size() >= SegmentBytes;
    if (Full) {
      auto Rolled = rollOver(Next->Index);
      if (!succeeded(Rolled))
        return Rolled;
    }
    requireInvariant(Next->Index == Segments.back().last().next(),
                     "entries are written without gaps");
    std::uint64_t Bytes = Segments.back().size();
    const log_entry *Stop = Next;
    while (Stop != End && (Stop == Next || Bytes < SegmentBytes)) {
      Bytes += RecordHeaderSize + Stop->Payload.size();
      ++Stop;
    }
    auto Written = Segments.back().append(FileSystem, Next, Stop);
    if (!succeeded(Written))
      return Written;
    Unsynced = true;
    Next = Stop;
  }
  return done{};
}

storage_result log_files::sync() {
  if (!Unsynced)
    return done{};
  Unsynced = false;
  return Segments.back().sync(FileSystem);
}

storage_result log_files::truncateFrom(log_index Index) {
  while (!Segments.empty() && Segments.back().first() >= Index) {
    auto Removed = removeFile(Segments.back().path());
    if (!succeeded(Removed))
      return Removed;
    auto Synced = syncFolder(FileSystem, Folder);
    if (!succeeded(Synced))
      return Synced;
    Segments.pop_back();
    Unsynced = false;
  }
  if (Segments.empty())
    return done{};
  return Segments.back().truncateFrom(FileSystem, Index);
}

storage_result log_files::compactTo(log_index Index) {
  bool Removed = false;
  while (Segments.size() > 1 && Segments.front().last() <= Index) {
    auto Gone = removeFile(Segments.front().path());
    if (!succeeded(Gone))
      return Gone;
    Segments.pop_front();
    Removed = true;
  }
  return Removed ? syncFolder(FileSystem, Folder) : storage_result(done{});
}

storage_result log_files::removeAll() { return truncateFrom(log_index()); }

} // namespace pollenstall
