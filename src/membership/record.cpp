/** @file record.cpp Subjects, versions and sizes of records. */
#include "membership/record_func.h"

#include "membership/load_digest_func.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace pollenstall {

namespace {

constexpr std::uint64_t HostSubjectBit = 1ULL << 63U; // the top bit of a subject
/// Set in the version of a record that is Leaving or Left, which outranks any sequence or
/// refutation.
constexpr std::uint64_t FinalStatusBit = 1ULL << 63U;
constexpr unsigned StatusBits = 2; // lowest bits of a host's version, for its host_status

constexpr std::uint32_t MaxRefutation = 1U << 30U; // far below the overflow of the version

constexpr std::size_t LengthPrefixBytes = 2;  // before each text; the count of a list takes less
constexpr std::size_t EnvelopeBytes = 72;     // header with the fleet's name, list sizes, HMAC tag
constexpr std::size_t HostFixedBytes = 16;    // incarnation, refutation, status
constexpr std::size_t BackendFixedBytes = 64; // numbers and flags

std::size_t textBytes(std::string_view Text) { return LengthPrefixBytes + Text.size(); }

bool isNameWithinLimit(std::string_view Text) { return Text.size() <= MaxNameBytes; }

std::size_t announcementBytes(const backend_announcement &Announcement) {
  std::size_t Bytes = BackendFixedBytes + textBytes(Announcement.Key.Address.str()) +
                      textBytes(Announcement.Service.str()) + textBytes(Announcement.Domain.str()) +
                      2 * LengthPrefixBytes;
  for (const auto &[Name, Value] : Announcement.Labels)
    Bytes += textBytes(Name) + textBytes(Value);
  for (const model_name &Model : Announcement.Models)
    Bytes += textBytes(Model.str());
  return Bytes;
}

std::size_t processBytes(const process_key &Key) {
  return textBytes(Key.Host.str()) + sizeof(std::uint64_t);
}

std::size_t bodyBytes(const membership_body &Body) {
  constexpr std::size_t NumberBytes = sizeof(std::uint64_t);
  return std::visit(
      overloaded{
          [](const record_updates &) { return std::size_t{0}; },
          [](const ping &Ping) { return NumberBytes + processBytes(Ping.Target); },
          [](const ping_ack &Ack) { return NumberBytes + processBytes(Ack.Target); },
          [](const ping_request &Request) {
            return NumberBytes + processBytes(Request.Target) + textBytes(Request.Address.str());
          },
          [](const sync_request &) { return NumberBytes * (1 + SyncBuckets); },
          [](const sync_versions &Answer) {
            return 3 * NumberBytes + LengthPrefixBytes + Answer.Versions.size() * VersionWireBytes;
          },
          [](const sync_fetch &Fetch) {
            return LengthPrefixBytes + Fetch.Subjects.size() * NumberBytes;
          },
          [](const load_query &Query) {
            return LengthPrefixBytes + Query.Backends.size() * sizeof(std::uint32_t);
          }},
      Body);
}

} // namespace

std::uint64_t subjectOf(const host_name &Host) {
  return combineHashes(stableHash(Host.str()), 0) | HostSubjectBit;
}

std::uint64_t subjectOf(const backend_address &Address) {
  return combineHashes(stableHash(Address.str()), 0) & ~HostSubjectBit;
}

bool isHost(std::uint64_t Subject) { return (Subject & HostSubjectBit) != 0; }

std::size_t hostBucket(std::uint64_t Subject) { return BackendBuckets + Subject % HostBuckets; }

std::size_t backendBucket(std::uint64_t Subject) { return Subject % BackendBuckets; }

subject_version versionOf(const host_record &Record) {
  const std::uint64_t Refuted = static_cast<std::uint64_t>(Record.Refutation) << StatusBits;
  const bool Left = Record.Status == host_status::Left;
  const std::uint64_t Version = Refuted + static_cast<std::uint64_t>(Record.Status);
  return {subjectOf(Record.Key.Host), Record.Key.Incarnation.value(),
          Left ? FinalStatusBit | Version : Version};
}

subject_version versionOf(const backend_announcement &Announcement, std::uint64_t Sequence) {
  return {subjectOf(Announcement.Key.Address), Announcement.Key.Incarnation.value(),
          Announcement.Leaving ? FinalStatusBit | Sequence : Sequence};
}

bool newerThan(const subject_version &A, const subject_version &B) {
  return std::tie(A.Incarnation, A.Version) > std::tie(B.Incarnation, B.Version);
}

std::uint64_t hashOf(const subject_version &Version) {
  return combineHashes(Version.Subject, combineHashes(Version.Incarnation, Version.Version));
}

std::size_t wireBytes(const host_record &Record) {
  std::size_t Bytes = HostFixedBytes + textBytes(Record.Key.Host.str()) +
                      textBytes(Record.Domain.str()) + textBytes(Record.Accuser.str()) +
                      LengthPrefixBytes;
  for (const peer_address &Address : Record.Addresses)
    Bytes += textBytes(Address.str());
  return Bytes;
}

std::size_t wireBytes(const backend_record &Record) {
  return announcementBytes(Record.Announcement) + 2 * sizeof(std::uint64_t) + DigestWireBytes;
}

std::size_t wireBytes(const membership_message &Message) {
  std::size_t Bytes = EnvelopeBytes + processBytes(Message.Sender) + bodyBytes(Message.Body);
  for (const host_record &Record : Message.Hosts)
    Bytes += wireBytes(Record);
  for (const backend_record &Record : Message.Backends)
    Bytes += wireBytes(Record);
  return Bytes + Message.Loads.size() * DigestWireBytes;
}

bool wellFormed(const host_record &Record) {
  const bool HasAddresses =
      !Record.Addresses.empty() && Record.Addresses.size() <= MaxHostAddresses;
  const bool HasNames = !Record.Key.Host.empty() && isNameWithinLimit(Record.Key.Host.str()) &&
                        isNameWithinLimit(Record.Domain.str()) &&
                        isNameWithinLimit(Record.Accuser.str());
  return HasAddresses && HasNames && Record.Status <= host_status::Left &&
         Record.Refutation < MaxRefutation &&
         std::all_of(Record.Addresses.begin(), Record.Addresses.end(),
                     [](const peer_address &Address) { return isNameWithinLimit(Address.str()); });
}

bool wellFormed(const backend_announcement &Announcement) {
  return !Announcement.Key.Address.empty() && isNameWithinLimit(Announcement.Key.Address.str()) &&
         isNameWithinLimit(Announcement.Domain.str()) &&
         Announcement.Capabilities.Orders <= order_check::Fenced;
}

bool wellFormed(const backend_record &Record) {
  return wellFormed(Record.Announcement) && wireBytes(Record) <= MaxRecordBytes &&
         Record.Sequence < FinalStatusBit &&
         Record.Load.Backend == digestId(Record.Announcement.Key);
}

} // namespace pollenstall
