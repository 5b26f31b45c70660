/** @file peer_codec_func.h cereal functions for the messages between control hosts. */
#ifndef POLLENSTALL_PEER_LINK_PEER_CODEC_FUNC_H
#define POLLENSTALL_PEER_LINK_PEER_CODEC_FUNC_H

#include "peer_link/peer_link_type.h"
#include "wire/wire.h"

#include <type_traits>

namespace pollenstall {

/// Reads or writes an enum. A number above the last enumerator is malformed.
template <typename Archive, typename Enum>
void serializeEnum(Archive &Into, Enum &Value, Enum Last) {
  Into(Value);
  if constexpr (Archive::is_loading::value)
    if (Value > Last)
      throw cereal::Exception("number beyond the last enumerator");
}

template <typename Archive> void serialize(Archive &Into, member_key &Key) {
  Into(Key.Member, Key.Disk);
}
template <typename Archive> void serialize(Archive &Into, log_member &Member) {
  Into(Member.Key);
  serializeEnum(Into, Member.VotingStatus, voting_status::Voter);
}
template <typename Archive> void serialize(Archive &Into, member_set &Set) {
  Into(Set.Cluster, Set.Members);
}
template <typename Archive> void serialize(Archive &Into, log_entry &Entry) {
  Into(Entry.Index, Entry.Term);
  serializeEnum(Into, Entry.Kind, entry_kind::Membership);
  Into(Entry.Payload);
}
template <typename Archive> void serialize(Archive &Into, log_snapshot &Snapshot) {
  Into(Snapshot.Index, Snapshot.Term, Snapshot.Members, Snapshot.State);
}
template <typename Archive> void serialize(Archive &Into, pre_vote_request &Body) {
  Into(Body.ForTerm, Body.LastIndex, Body.LastTerm);
}
template <typename Archive> void serialize(Archive &Into, pre_vote_reply &Body) {
  Into(Body.ForTerm, Body.Granted, Body.WillNotLead);
}
template <typename Archive> void serialize(Archive &Into, vote_request &Body) {
  Into(Body.LastIndex, Body.LastTerm);
}
template <typename Archive> void serialize(Archive &Into, vote_reply &Body) { Into(Body.Granted); }
template <typename Archive> void serialize(Archive &Into, append_request &Body) {
  Into(Body.PrevIndex, Body.PrevTerm, Body.Commit, Body.Round, Body.SentAt, Body.Entries);
}
template <typename Archive> void serialize(Archive &Into, append_reply &Body) {
  Into(Body.Matched, Body.Match, Body.RejectedPrev, Body.HintIndex, Body.HintTerm, Body.Round,
       Body.SentAt);
}
template <typename Archive> void serialize(Archive &Into, snapshot_request &Body) {
  Into(Body.Snapshot, Body.Round, Body.SentAt);
}
template <typename Archive> void serialize(Archive & /*Into*/, admission_request & /*Body*/) {}
template <typename Archive> void serialize(Archive & /*Into*/, bootstrap_probe & /*Body*/) {}
template <typename Archive> void serialize(Archive &Into, consensus_message &Message) {
  Into(Message.Cluster, Message.From, Message.To, Message.Term, Message.Body);
}
template <typename Archive> void serialize(Archive &Into, peer_addresses &Addresses) {
  Into(Addresses.Peers, Addresses.Entries, Addresses.Operators);
}
/**
 * The failure domain is written as the last known peer, with the sender's own id. Builds that do
 * not know it ignore what a hello says about its sender as about another host, while a further
 * field would make them close the connection.
 */
template <typename Archive> void save(Archive &Into, const peer_hello &Hello) {
  std::vector<known_peer> KnownPeers = Hello.KnownPeers;
  if (!Hello.Domain.empty())
    KnownPeers.emplace_back(Hello.Member, peer_addresses{Hello.Domain.str(), {}, {}});
  Into(Hello.Member, Hello.Addresses, KnownPeers);
}
template <typename Archive> void load(Archive &From, peer_hello &Hello) {
  From(Hello.Member, Hello.Addresses, Hello.KnownPeers);
  Hello.Domain = {};
  if (Hello.KnownPeers.empty() || Hello.KnownPeers.back().first != Hello.Member)
    return;
  Hello.Domain = failure_domain_name(std::move(Hello.KnownPeers.back().second.Peers));
  Hello.KnownPeers.pop_back();
}

/// @return The message, framed for the wire.
inline std::string peerFrame(const std::string &Fleet, const peer_message &Message) {
  return encodeFrame(encodeEnvelope(Fleet, message_kind::Consensus, Message));
}

/// @return The message, or why the bytes are not a message of this fleet.
inline result<peer_message, wire_error> decodePeerMessage(const std::string &Fleet,
                                                          std::string_view Bytes) {
  return decodeEnvelope<peer_message>(Fleet, message_kind::Consensus, Bytes, MaxFrameBytes);
}

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_PEER_CODEC_FUNC_H
