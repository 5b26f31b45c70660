/** @file control_codec.cpp Versioned cereal encoding of commands and snapshots. */
#include "control_codec_func.h"

#include "control_link/control_link.h"

namespace pollenstall {

template <typename Archive> void serialize(Archive &Into, apply_change &Command) {
  Into(Command.Id, Command.Base, Command.Text, Command.Summary, Command.ValidationErrors,
       Command.Time);
}
template <typename Archive> void serialize(Archive &Into, set_drain &Command) {
  Into(Command.Id, Command.Backend, Command.Undo, Command.Time);
}
template <typename Archive> void serialize(Archive & /*Into*/, take_fencing_token & /*Command*/) {}
template <typename Archive> void serialize(Archive &Into, offer_declaration &Command) {
  Into(Command.Revision, Command.Text, Command.Time);
}
template <typename Archive> void serialize(Archive &Into, claim_expire &Command) {
  Into(Command.Now);
}
template <typename Archive> void serialize(Archive &Into, change_accepted &Verdict) {
  Into(Verdict.Revision);
}
template <typename Archive> void serialize(Archive &Into, change_conflict &Verdict) {
  Into(Verdict.Current);
}
template <typename Archive> void serialize(Archive &Into, change_invalid &Verdict) {
  Into(Verdict.Details);
}
template <typename Archive> void serialize(Archive &Into, drain_recorded &Verdict) {
  Into(Verdict.Version);
}
template <typename Archive> void serialize(Archive & /*Into*/, drains_full & /*Verdict*/) {}
template <typename Archive> void serialize(Archive &Into, declaration_record &Declared) {
  Into(Declared.Revision, Declared.Text);
}
template <typename Archive> void serialize(Archive &Into, history_record &Record) {
  Into(Record.Revision, Record.Id, Record.Time, Record.Summary);
}
template <typename Archive> void serialize(Archive &Into, answer_record &Record) {
  Into(Record.Id, Record.ContentHash, Record.Verdict, Record.Time);
}
template <typename Archive> void serialize(Archive &Into, claim_record &Record) {
  Into(Record.Key, Record.Holder, Record.State, Record.ExpiresAt);
}
template <typename Archive> void serialize(Archive &Into, claim_snapshot &Snapshot) {
  Into(Snapshot.LastExpireTime, Snapshot.Records);
}
template <typename Archive> void serialize(Archive &Into, update_backends &Command) {
  Into(Command.Changes);
}
template <typename Archive> void serialize(Archive &Into, record_crash &Command) {
  Into(Command.Fingerprints, Command.Incarnation, Command.Time);
}
template <typename Archive> void serialize(Archive &Into, record_suspect_run &Command) {
  Into(Command.FingerprintHigh, Command.Time);
}
template <typename Archive> void serialize(Archive &Into, clear_suspect &Command) {
  Into(Command.FingerprintHigh);
}
template <typename Archive> void serialize(Archive &Into, set_evacuation &Command) {
  Into(Command.Domain, Command.Undo, Command.Time);
}
template <typename Archive> void serialize(Archive &Into, evacuation_record &Record) {
  Into(Record.Domain, Record.Version, Record.Since);
}
template <typename Archive> void serialize(Archive &Into, suspect_record &Record) {
  Into(Record.Fingerprint, Record.Crashes, Record.Blocks, Record.LastCrash, Record.BlockedUntil,
       Record.Incarnations, Record.RunsBegun, Record.WatchedSince);
}
template <typename Archive> void serializeInitial(Archive &Into, control_snapshot &Snapshot) {
  Into(Snapshot.Declared, Snapshot.History, Snapshot.Answers, Snapshot.Drains,
       Snapshot.DrainsVersion, Snapshot.LastFence, Snapshot.LatestCommandTime, Snapshot.Claims);
}
template <typename Archive> void serializePromptParts(Archive &Into, control_snapshot &Snapshot) {
  serializeInitial(Into, Snapshot);
  Into(Snapshot.Backends, Snapshot.Suspects, Snapshot.SuspectsVersion);
}
template <typename Archive> void serialize(Archive &Into, control_snapshot &Snapshot) {
  serializePromptParts(Into, Snapshot);
  Into(Snapshot.Evacuations, Snapshot.EvacuationsVersion);
}

/// A snapshot of the first version, which has no backend servers.
struct initial_snapshot {
  control_snapshot Snapshot;
  template <typename Archive> void serialize(Archive &Into) { serializeInitial(Into, Snapshot); }
};

/// A snapshot of the second version, which has no suspected requests.
struct backends_snapshot {
  control_snapshot Snapshot;
  template <typename Archive> void serialize(Archive &Into) {
    serializeInitial(Into, Snapshot);
    Into(Snapshot.Backends);
  }
};

/// A record of a suspected request as in the third version, which has no parts of prompts.
struct request_suspect_record {
  suspect_record Record;
  template <typename Archive> void serialize(Archive &Into) {
    Into(Record.Fingerprint, Record.Crashes, Record.Blocks, Record.LastCrash, Record.BlockedUntil,
         Record.Incarnations);
  }
};

/// A snapshot of the third version.
struct suspects_snapshot {
  control_snapshot Snapshot;
  template <typename Archive> void serialize(Archive &Into) {
    std::vector<request_suspect_record> Suspects;
    serializeInitial(Into, Snapshot);
    Into(Snapshot.Backends, Suspects, Snapshot.SuspectsVersion);
    for (const request_suspect_record &Suspect : Suspects)
      Snapshot.Suspects.push_back(Suspect.Record);
  }
};

/// A snapshot of the fourth version, which has no evacuated failure domains.
struct prompt_parts_snapshot {
  control_snapshot Snapshot;
  template <typename Archive> void serialize(Archive &Into) {
    serializePromptParts(Into, Snapshot);
  }
};

namespace {

/// Size of the largest declaration with the other fields of its change.
constexpr std::size_t MaxPlainCommand = 2 * MaxLinkReplyBytes;

template <typename Version> struct version_head {
  Version VersionNumber{};
  template <typename Archive> void serialize(Archive &Into) { Into(VersionNumber); }
};

template <typename Version>
constexpr std::size_t HeadBytes = sizeof(std::underlying_type_t<Version>);

template <typename Version>
result<Version, control_codec_error> versionOf(std::string_view Bytes, Version Newest) {
  if (Bytes.size() < HeadBytes<Version>)
    return control_codec_error::Malformed;
  const auto Head = decodePlain<version_head<Version>>(std::span(Bytes.data(), HeadBytes<Version>));
  if (!succeeded(Head))
    return control_codec_error::Malformed;
  const Version VersionNumber = valueOf(Head).VersionNumber;
  if (VersionNumber < Version::Initial || VersionNumber > Newest)
    return control_codec_error::OtherVersion;
  return VersionNumber;
}

/// Decodes what follows the version. @param Bytes Begin with the head of a known version.
template <typename Value, typename Version>
result<Value, control_codec_error> decodeBody(std::string_view Bytes) {
  auto Decoded = decodePlain<Value>(
      std::span(Bytes.data() + HeadBytes<Version>, Bytes.size() - HeadBytes<Version>));
  if (!succeeded(Decoded))
    return control_codec_error::Malformed;
  return valueOf(std::move(Decoded));
}

bool areValidListingStates(const std::vector<backend_listing> &Listings) {
  return std::all_of(Listings.begin(), Listings.end(), [](const backend_listing &Listing) {
    return isValidListingState(Listing.State);
  });
}

bool hasValidEnums(const control_command &Command) {
  if (const auto *Noted = std::get_if<update_backends>(&Command))
    return areValidListingStates(Noted->Changes);
  const auto *Settle = std::get_if<claim_settle>(&Command);
  return Settle == nullptr || isValidClaimState(Settle->State);
}

bool hasValidEnums(const control_snapshot &Snapshot) {
  return areValidListingStates(Snapshot.Backends) &&
         std::all_of(Snapshot.Claims.Records.begin(), Snapshot.Claims.Records.end(),
                     [](const claim_record &Record) { return isValidClaimState(Record.State); });
}

template <typename Older>
result<control_snapshot, control_codec_error> decodeOlder(std::string_view Bytes) {
  auto Decoded = decodeBody<Older, state_version>(Bytes);
  if (!succeeded(Decoded))
    return errorOf(Decoded);
  return std::move(valueOf(Decoded).Snapshot);
}

result<control_snapshot, control_codec_error> decodeSnapshot(std::string_view Bytes) {
  const auto VersionNumber = versionOf(Bytes, state_version::Evacuations);
  if (!succeeded(VersionNumber))
    return errorOf(VersionNumber);
  switch (valueOf(VersionNumber)) {
  case state_version::Initial:
    return decodeOlder<initial_snapshot>(Bytes);
  case state_version::Backends:
    return decodeOlder<backends_snapshot>(Bytes);
  case state_version::Suspects:
    return decodeOlder<suspects_snapshot>(Bytes);
  case state_version::PromptParts:
    return decodeOlder<prompt_parts_snapshot>(Bytes);
  default:
    return decodeBody<control_snapshot, state_version>(Bytes);
  }
}

/// Whether a command contains a declaration's text, which is compressed. A command is sent to every
/// follower over the link that also carries heartbeats, in one message with them. Uncompressed, a
/// large one delays the heartbeats until the follower starts an election.
bool hasText(const control_command &Command) {
  return std::holds_alternative<apply_change>(Command) ||
         std::holds_alternative<offer_declaration>(Command);
}

result<control_command, control_codec_error> decodePacked(std::string_view Bytes) {
  const auto Packed = decodeBody<packed_text, command_version>(Bytes);
  if (!succeeded(Packed))
    return errorOf(Packed);
  const auto Plain = unpack(valueOf(Packed), MaxPlainCommand);
  if (!Plain)
    return control_codec_error::Malformed;
  auto Command = decodePlain<control_command>(*Plain);
  if (!succeeded(Command))
    return control_codec_error::Malformed;
  return valueOf(std::move(Command));
}

command_version versionFor(const control_command &Command) {
  if (std::holds_alternative<update_backends>(Command))
    return command_version::Backends;
  if (std::holds_alternative<set_evacuation>(Command))
    return command_version::Evacuations;
  const auto *Crash = std::get_if<record_crash>(&Command);
  const bool HasPromptParts =
      Crash && std::any_of(Crash->Fingerprints.begin(), Crash->Fingerprints.end(),
                           [](const auto &Fingerprint) { return Fingerprint.isPromptPart(); });
  if (HasPromptParts || std::holds_alternative<record_suspect_run>(Command))
    return command_version::PromptParts;
  const bool Suspects = Crash || std::holds_alternative<clear_suspect>(Command);
  return Suspects ? command_version::Suspects : command_version::Initial;
}

} // namespace

std::string encodeCommand(const control_command &Command) {
  // Only a command that an older program cannot apply gets the newer version, so that the older
  // program stops there.
  if (hasText(Command))
    return encodePlain(version_head<command_version>{command_version::Packed}) +
           encodePlain(pack(encodePlain(Command)));
  return encodePlain(version_head<command_version>{versionFor(Command)}) + encodePlain(Command);
}

result<control_command, control_codec_error> decodeCommand(std::string_view Bytes) {
  const auto VersionNumber = versionOf(Bytes, command_version::Evacuations);
  if (!succeeded(VersionNumber))
    return errorOf(VersionNumber);
  auto Decoded = valueOf(VersionNumber) == command_version::Packed
                     ? decodePacked(Bytes)
                     : decodeBody<control_command, command_version>(Bytes);
  if (succeeded(Decoded) && !hasValidEnums(valueOf(Decoded)))
    return control_codec_error::Malformed;
  return Decoded;
}

std::string encodeState(const control_state &State) {
  if (State.evacuations().version() == 0)
    return encodePlain(version_head<state_version>{state_version::PromptParts}) +
           encodePlain(prompt_parts_snapshot{State.snapshot()});
  return encodePlain(version_head<state_version>{state_version::Evacuations}) +
         encodePlain(State.snapshot());
}

result<control_state, control_codec_error> decodeState(std::string_view Bytes,
                                                       const control_limits &Limits) {
  const auto Decoded = decodeSnapshot(Bytes);
  if (!succeeded(Decoded))
    return errorOf(Decoded);
  if (!hasValidEnums(valueOf(Decoded)))
    return control_codec_error::Malformed;
  auto State = control_state::restore(valueOf(Decoded), Limits);
  if (!succeeded(State))
    return control_codec_error::InvalidContent;
  return valueOf(std::move(State));
}

} // namespace pollenstall
