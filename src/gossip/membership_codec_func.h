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

/// Writes or reads a text with a two-byte length; Archive determines the direction. cereal's own
/// eight-byte lengths would make up a third of a small datagram.
template <typename Archive> void serializeText(Archive &Stream, std::string &Text) {
  auto Size = static_cast<std::uint16_t>(Text.size());
  Stream(Size);
  if constexpr (Archive::is_loading::value) {
    Stream.checkCount(Size);
    Text.resize(Size);
  }
  Stream(cereal::binary_data(Text.data(), Size));
}

template <typename Archive, typename Tag>
void serializeName(Archive &Stream, strong_text<Tag> &Name) {
  std::string Text = Name.str();
  serializeText(Stream, Text);
  if constexpr (Archive::is_loading::value)
    Name = strong_text<Tag>(std::move(Text));
}

/// Writes or reads a list of at most MaxMessageItems. Reading checks the bound before any
/// allocation, and treats a longer list like a truncated message.
template <typename Archive, typename Element, typename Serialize>
void serializeList(Archive &Stream, std::vector<Element> &Elements, Serialize SerializeElement) {
  auto Count = static_cast<std::uint8_t>(Elements.size());
  Stream(Count);
  if constexpr (Archive::is_loading::value) {
    if (Count > MaxMessageItems)
      throw truncated_message();
    Stream.checkCount(Count);
    Elements.resize(Count);
  }
  for (Element &Entry : Elements)
    SerializeElement(Entry);
}

template <typename Archive, typename Element>
void serializeList(Archive &Stream, std::vector<Element> &Elements) {
  serializeList(Stream, Elements, [&Stream](Element &Entry) { Stream(Entry); });
}

template <typename Archive> void serializeProcess(Archive &Stream, process_key &Key) {
  serializeName(Stream, Key.Host);
  Stream(Key.Incarnation);
}

template <typename Archive>
void serializeLabels(Archive &Stream, std::map<std::string, std::string> &Labels) {
  using label = std::pair<std::string, std::string>;
  std::vector<label> Pairs(Labels.begin(), Labels.end());
  serializeList(Stream, Pairs, [&Stream](label &Entry) {
    serializeText(Stream, Entry.first);
    serializeText(Stream, Entry.second);
  });
  if constexpr (Archive::is_loading::value)
    Labels = {Pairs.begin(), Pairs.end()};
}

template <typename Archive> void serialize(Archive &Stream, backend_capabilities &Value) {
  Stream(Value.Model, Value.Priorities, Value.Cancels, Value.Resumes, Value.MovesCache,
         Value.Orders);
}

template <typename Archive> void serialize(Archive &Stream, backend_announcement &Value) {
  serializeName(Stream, Value.Key.Address);
  Stream(Value.Key.Incarnation);
  serializeName(Stream, Value.Service);
  serializeName(Stream, Value.Domain);
  serializeLabels(Stream, Value.Labels);
  serializeList(Stream, Value.Models,
                [&Stream](model_name &Model) { serializeName(Stream, Model); });
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
  serializeProcess(Stream, Value.Key);
  serializeName(Stream, Value.Domain);
  serializeList(Stream, Value.Addresses,
                [&Stream](peer_address &Address) { serializeName(Stream, Address); });
  Stream(Value.Refutation, Value.Status);
  serializeName(Stream, Value.Accuser);
}

template <typename Archive> void serialize(Archive & /*Into*/, record_updates & /*Value*/) {}

template <typename Archive> void serialize(Archive &Stream, ping &Value) {
  Stream(Value.Nonce);
  serializeProcess(Stream, Value.Target);
}

template <typename Archive> void serialize(Archive &Stream, ping_ack &Value) {
  Stream(Value.Nonce);
  serializeProcess(Stream, Value.Target);
}

template <typename Archive> void serialize(Archive &Stream, ping_request &Value) {
  Stream(Value.Nonce);
  serializeProcess(Stream, Value.Target);
  serializeName(Stream, Value.Address);
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
  serializeList(Stream, Value.Versions);
}

template <typename Archive> void serialize(Archive &Stream, sync_fetch &Value) {
  serializeList(Stream, Value.Subjects);
}

template <typename Archive> void serialize(Archive &Stream, load_query &Value) {
  serializeList(Stream, Value.Backends);
}

template <typename Archive> void serialize(Archive &Stream, membership_message &Value) {
  serializeProcess(Stream, Value.Sender);
  Stream(Value.Body);
  serializeList(Stream, Value.Hosts);
  serializeList(Stream, Value.Backends);
  serializeList(Stream, Value.Loads);
}

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_MEMBERSHIP_CODEC_FUNC_H
