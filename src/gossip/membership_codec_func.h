/** @file membership_codec_func.h cereal functions for membership messages, with bounded lists. */
#ifndef POLLENSTALL_GOSSIP_MEMBERSHIP_CODEC_FUNC_H
#define POLLENSTALL_GOSSIP_MEMBERSHIP_CODEC_FUNC_H

#include "membership/membership.h"
#include "wire/wire.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenstall {

static_assert(MaxMessageItems <= UINT8_MAX, "the count of a list takes one byte");

/// Packs a text with a two-byte length. cereal's own eight-byte lengths would make up a third of a
/// small datagram.
template <typename Archive> void packText(Archive &Stream, std::string &Text) {
  auto Size = static_cast<std::uint16_t>(Text.size());
  Stream(Size);
  if constexpr (Archive::is_loading::value) {
    Stream.checkCount(Size);
    Text.resize(Size);
  }
  Stream(cereal::binary_data(Text.data(), Size));
}

template <typename Archive, typename Tag> void packName(Archive &Stream, strong_text<Tag> &Name) {
  std::string Text = Name.str();
  packText(Stream, Text);
  if constexpr (Archive::is_loading::value)
    Name = strong_text<Tag>(std::move(Text));
}

/// Packs a list of at most MaxMessageItems; checks the bound before any allocation.
template <typename Archive, typename Element, typename Pack>
void packList(Archive &Stream, std::vector<Element> &Elements, Pack PackElement) {
  auto Count = static_cast<std::uint8_t>(Elements.size());
  Stream(Count);
  if constexpr (Archive::is_loading::value) {
    if (Count > MaxMessageItems)
      throw truncated_message();
    Stream.checkCount(Count);
    Elements.resize(Count);
  }
  for (Element &Entry : Elements)
    PackElement(Entry);
}

template <typename Archive, typename Element>
void packList(Archive &Stream, std::vector<Element> &Elements) {
  packList(Stream, Elements, [&Stream](Element &Entry) { Stream(Entry); });
}

template <typename Archive> void packProcess(Archive &Stream, process_key &Key) {
  packName(Stream, Key.Host);
  Stream(Key.Incarnation);
}

template <typename Archive>
void packLabels(Archive &Stream, std::map<std::string, std::string> &Labels) {
  using label = std::pair<std::string, std::string>;
  std::vector<label> Pairs(Labels.begin(), Labels.end());
  packList(Stream, Pairs, [&Stream](label &Entry) {
    packText(Stream, Entry.first);
    packText(Stream, Entry.second);
  });
  if constexpr (Archive::is_loading::value)
    Labels = {Pairs.begin(), Pairs.end()};
}

template <typename Archive> void serialize(Archive &Stream, backend_capabilities &Value) {
  Stream(Value.Model, Value.Priorities, Value.Cancels, Value.Resumes, Value.MovesCache,
         Value.Orders);
}

template <typename Archive> void serialize(Archive &Stream, backend_announcement &Value) {
  packName(Stream, Value.Key.Address);
  Stream(Value.Key.Incarnation);
  packName(Stream, Value.Service);
  packName(Stream, Value.Domain);
  packLabels(Stream, Value.Labels);
  packList(Stream, Value.Models, [&Stream](model_name &Model) { packName(Stream, Model); });
  Stream(Value.Capabilities, Value.Memory, Value.BlockTokens, Value.Leaving);
}

template <typename Archive> void serialize(Archive &Stream, load_digest &Value) {
  Stream(Value.Backend, Value.Sequence, Value.AgeFlags, Value.Running, Value.Waiting, Value.Prefill,
         Value.Used, Value.Cached);
}

template <typename Archive> void serialize(Archive &Stream, backend_record &Value) {
  Stream(Value.Announcement, Value.Sequence, Value.LoadSequence, Value.Load, Value.Tombstone);
}

template <typename Archive> void serialize(Archive &Stream, host_record &Value) {
  packProcess(Stream, Value.Key);
  packName(Stream, Value.Domain);
  packList(Stream, Value.Addresses,
           [&Stream](peer_address &Address) { packName(Stream, Address); });
  Stream(Value.Refutation, Value.Status);
  packName(Stream, Value.Accuser);
}

template <typename Archive> void serialize(Archive & /*Into*/, record_updates & /*Value*/) {}

template <typename Archive> void serialize(Archive &Stream, ping &Value) {
  Stream(Value.Nonce);
  packProcess(Stream, Value.Target);
}

template <typename Archive> void serialize(Archive &Stream, ping_ack &Value) {
  Stream(Value.Nonce);
  packProcess(Stream, Value.Target);
}

template <typename Archive> void serialize(Archive &Stream, ping_request &Value) {
  Stream(Value.Nonce);
  packProcess(Stream, Value.Target);
  packName(Stream, Value.Address);
}

template <typename Archive> void serialize(Archive &Stream, sync_request &Value) {
  Stream(Value.Nonce);
  for (std::uint64_t &Bucket : Value.Buckets)
    Stream(Bucket);
}

template <typename Archive> void serialize(Archive &Stream, subject_version &Value) {
  Stream(Value.Subject, Value.Incarnation, Value.Version);
}

template <typename Archive> void serialize(Archive &Stream, sync_versions &Value) {
  Stream(Value.Nonce, Value.Differing, Value.Covered);
  packList(Stream, Value.Versions);
}

template <typename Archive> void serialize(Archive &Stream, sync_fetch &Value) {
  packList(Stream, Value.Subjects);
}

template <typename Archive> void serialize(Archive &Stream, load_query &Value) {
  packList(Stream, Value.Backends);
}

template <typename Archive> void serialize(Archive &Stream, membership_message &Value) {
  packProcess(Stream, Value.Sender);
  Stream(Value.Body);
  packList(Stream, Value.Hosts);
  packList(Stream, Value.Backends);
  packList(Stream, Value.Loads);
}

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_MEMBERSHIP_CODEC_FUNC_H
