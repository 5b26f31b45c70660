/** @file folder_meta.cpp Identity and hard state files of a data folder. */
#include "storage/folder_meta_func.h"

#include "storage/record_type.h"

#include <system_error>

namespace pollenstall {

namespace {

constexpr const char *IdentityName = "identity";
constexpr const char *MetaName = "meta";
constexpr std::size_t Uint64Size = 8;
constexpr std::size_t ChecksumSize = 4;
constexpr std::size_t IdentityFields = 2; ///< Member and disk, followed by the fleet's name.
constexpr std::size_t MetaFields = 3;     ///< Term, voted member, voted disk.
/// Term, member and disk of hard_state::FollowedLeader, after the MetaFields. Folders of older
/// versions lack them, which is read as an unknown leader.
constexpr std::size_t FollowedLeaderFields = 3;

std::string withChecksum(std::string Bytes) {
  appendNumber(Bytes, checksum(Bytes), ChecksumSize);
  return Bytes;
}

/// @return The bytes before the checksum, or an error if the checksum does not match.
result<std::string, storage_error> readChecksummedFile(const std::filesystem::path &Path,
                                                       std::size_t MinSize) {
  auto ReadResult = readEntireFile(Path);
  if (!succeeded(ReadResult))
    return errorOf(ReadResult);
  std::string &Bytes = valueOf(ReadResult);
  if (Bytes.size() < MinSize + ChecksumSize)
    return corrupt_file{Path, 0, "the file is too short"};
  const std::uint64_t StoredChecksum =
      readNumber(std::string_view(Bytes).substr(Bytes.size() - ChecksumSize), ChecksumSize);
  Bytes.resize(Bytes.size() - ChecksumSize);
  if (checksum(Bytes) != StoredChecksum)
    return corrupt_file{Path, 0, "the checksum does not match"};
  return std::move(Bytes);
}

std::uint64_t fieldAt(std::string_view Bytes, std::size_t Field) {
  return readNumber(Bytes.substr(Field * Uint64Size), Uint64Size);
}

} // namespace

result<std::optional<folder_identity>, storage_error>
readIdentity(const std::filesystem::path &Folder) {
  std::error_code Error;
  if (!std::filesystem::exists(Folder / IdentityName, Error))
    return std::optional<folder_identity>();
  const auto ReadResult = readChecksummedFile(Folder / IdentityName, IdentityFields * Uint64Size);
  if (!succeeded(ReadResult))
    return errorOf(ReadResult);
  const std::string &Bytes = valueOf(ReadResult);
  const member_key Key{member_id(fieldAt(Bytes, 0)), disk_identity(fieldAt(Bytes, 1))};
  return std::optional(folder_identity{Bytes.substr(IdentityFields * Uint64Size), Key});
}

storage_result writeIdentity(const file_system &FileSystem, const std::filesystem::path &Folder,
                             const folder_identity &Identity) {
  std::string Bytes;
  appendNumber(Bytes, Identity.Key.Member.value(), Uint64Size);
  appendNumber(Bytes, Identity.Key.Disk.value(), Uint64Size);
  Bytes += Identity.Fleet;
  return replaceFile(FileSystem, Folder / IdentityName, withChecksum(std::move(Bytes)));
}

result<hard_state, storage_error> readHardState(const std::filesystem::path &Folder) {
  const auto ReadResult = readChecksummedFile(Folder / MetaName, MetaFields * Uint64Size);
  if (!succeeded(ReadResult))
    return errorOf(ReadResult);
  const std::string &Bytes = valueOf(ReadResult);
  const member_key Vote{member_id(fieldAt(Bytes, 1)), disk_identity(fieldAt(Bytes, 2))};
  hard_state Hard{term_number(fieldAt(Bytes, 0)), Vote};
  if (Bytes.size() >= (MetaFields + FollowedLeaderFields) * Uint64Size)
    Hard.FollowedLeader = {term_number(fieldAt(Bytes, 3)),
                           {member_id(fieldAt(Bytes, 4)), disk_identity(fieldAt(Bytes, 5))}};
  return Hard;
}

storage_result writeHardState(const file_system &FileSystem, const std::filesystem::path &Folder,
                              const hard_state &Hard) {
  std::string Bytes;
  appendNumber(Bytes, Hard.Term.value(), Uint64Size);
  appendNumber(Bytes, Hard.Vote.Member.value(), Uint64Size);
  appendNumber(Bytes, Hard.Vote.Disk.value(), Uint64Size);
  appendNumber(Bytes, Hard.FollowedLeader.Term.value(), Uint64Size);
  appendNumber(Bytes, Hard.FollowedLeader.Member.Member.value(), Uint64Size);
  appendNumber(Bytes, Hard.FollowedLeader.Member.Disk.value(), Uint64Size);
  return replaceFile(FileSystem, Folder / MetaName, withChecksum(std::move(Bytes)));
}

} // namespace pollenstall
