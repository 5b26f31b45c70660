/** @file control_codec.cpp cereal functions of commands and snapshots, with their versions. */
#include "control_codec_func.h"

#include "control_link/control_link.h"

namespace pollenstall {

template <typename Archive> void serialize(Archive &Into, apply_change &Command) {
  Into(Command.Id, Command.Base, Command.Text, Command.Summary, Command.Rejected, Command.Time);
}
template <typename Archive> void serialize(Archive &Into, set_drain &Command) {
  Into(Command.Id, Command.Backend, Command.Undo, Command.Time);
}
template <typename Archive> void serialize(Archive & /*Into*/, take_fence & /*Command*/) {}
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
template <typename Archive> void serialize(Archive &Into, declared_text &Declared) {
  Into(Declared.Revision, Declared.Text);
}
template <typename Archive> void serialize(Archive &Into, history_record &Record) {
  Into(Record.Revision, Record.Id, Record.Time, Record.Summary);
}
template <typename Archive> void serialize(Archive &Into, answer_record &Record) {
  Into(Record.Id, Record.Content, Record.Verdict, Record.Time);
}
template <typename Archive> void serialize(Archive &Into, claim_record &Record) {
  Into(Record.Key, Record.Holder, Record.Standing, Record.ExpiresAt);
}
template <typename Archive> void serialize(Archive &Into, claim_snapshot &Snapshot) {
  Into(Snapshot.ExpiredUntil, Snapshot.Records);
}
template <typename Archive> void serialize(Archive &Into, control_snapshot &Snapshot) {
  Into(Snapshot.Declared, Snapshot.History, Snapshot.Answers, Snapshot.Drains,
       Snapshot.DrainsVersion, Snapshot.LastFence, Snapshot.LatestTime, Snapshot.Claims);
}

namespace {

template <typename Version> struct version_head {
  Version Number{};
  template <typename Archive> void serialize(Archive &Into) { Into(Number); }
};

template <typename Version>
constexpr std::size_t HeadBytes = sizeof(std::underlying_type_t<Version>);

template <typename Value, typename Version>
result<Value, control_codec_error> decodeVersioned(std::string_view Bytes, Version Known) {
  if (Bytes.size() < HeadBytes<Version>)
    return control_codec_error::Malformed;
  const auto Head = decodePlain<version_head<Version>>(std::span(Bytes.data(), HeadBytes<Version>));
  if (!succeeded(Head))
    return control_codec_error::Malformed;
  if (valueOf(Head).Number != Known)
    return control_codec_error::OtherVersion;
  auto Decoded = decodePlain<Value>(
      std::span(Bytes.data() + HeadBytes<Version>, Bytes.size() - HeadBytes<Version>));
  if (!succeeded(Decoded))
    return control_codec_error::Malformed;
  return valueOf(std::move(Decoded));
}

bool hasValidEnums(const control_command &Command) {
  const auto *Settle = std::get_if<claim_settle>(&Command);
  return Settle == nullptr || isStanding(Settle->Standing);
}

bool hasValidEnums(const control_snapshot &Snapshot) {
  return std::all_of(Snapshot.Claims.Records.begin(), Snapshot.Claims.Records.end(),
                     [](const claim_record &Record) { return isStanding(Record.Standing); });
}

} // namespace

std::string encodeCommand(const control_command &Command) {
  return encodePlain(version_head<command_version>{command_version::Initial}) +
         encodePlain(Command);
}

result<control_command, control_codec_error> decodeCommand(std::string_view Bytes) {
  auto Decoded = decodeVersioned<control_command>(Bytes, command_version::Initial);
  if (succeeded(Decoded) && !hasValidEnums(valueOf(Decoded)))
    return control_codec_error::Malformed;
  return Decoded;
}

std::string encodeState(const control_state &State) {
  return encodePlain(version_head<state_version>{state_version::Initial}) +
         encodePlain(State.snapshot());
}

result<control_state, control_codec_error> decodeState(std::string_view Bytes,
                                                       const control_limits &Limits) {
  const auto Decoded = decodeVersioned<control_snapshot>(Bytes, state_version::Initial);
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
