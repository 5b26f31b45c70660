/** @file membership_codec_func.h cereal functions for membership's messages, with bounded lists. */
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

/// A text with its length in two bytes: cereal's own eight would be a third of a small datagram.
template <typename Archive> void packText(Archive &Into, std::string &Text) {
  auto Size = static_cast<std::uint16_t>(Text.size());
  Into(Size);
  if constexpr (Archive::is_loading::value) {
    Into.checkCount(Size);
    Text.resize(Size);
  }
  Into(cereal::binary_data(Text.data(), Size));
}

template <typename Archive, typename Tag> void packName(Archive &Into, strong_text<Tag> &Name) {
  std::string Text = Name.str();
  packText(Into, Text);
  if constexpr (Archive::is_loading::value)
    Name = strong_text<Tag>(std::move(Text));
}

/// A list of at most MaxMessageItems; the bound is checked before anything is allocated.
template <typename Archive, typename Item, typename Pack>
void packList(Archive &Into, std::vector<Item> &Items, Pack PackItem) {
  auto Count = static_cast<std::uint8_t>(Items.size());
  Into(Count);
  if constexpr (Archive::is_loading::value) {
    if (Count > MaxMessageItems)
      throw truncated_message();
    Into.checkCount(Count);
    Items.resize(Count);
  }
  for (Item &Each : Items)
    PackItem(Each);
}

template <typename Archive, typename Item> void packList(Archive &Into, std::vector<Item> &Items) {
  packList(Into, Items, [&Into](Item &Each) { Into(Each); });
}

template <typename Archive> void packProcess(Archive &Into, process_key &Key) {
  packName(Into, Key.Host);
  Into(Key.Incarnation);
}

template <typename Archive>
void packLabels(Archive &Into, std::map<std::string, std::string> &Labels) {
  using label = std::pair<std::string, std::string>;
  std::vector<label> Pairs(Labels.begin(), Labels.end());
  packList(Into, Pairs, [&Into](label &Each) {
    packText(Into, Each.first);
    packText(Into, Each.second);
  });
  if constexpr (Archive::is_loading::value)
    Labels = {Pairs.begin(), Pairs.end()};
}

template <typename Archive> void serialize(Archive &Into, backend_capabilities &Value) {
  Into(Value.Model, Value.Priorities, Value.Cancels, Value.Resumes, Value.MovesCache, Value.Orders);
}

template <typename Archive> void serialize(Archive &Into, backend_announcement &Value) {
  packName(Into, Value.Key.Address);
  Into(Value.Key.Incarnation);
  packName(Into, Value.Service);
  packName(Into, Value.Domain);
  packLabels(Into, Value.Labels);
  packList(Into, Value.Models, [&Into](model_name &Model) { packName(Into, Model); });
  Into(Value.Capabilities, Value.Memory, Value.BlockTokens, Value.Leaving);
}

template <typename Archive> void serialize(Archive &Into, load_digest &Value) {
  Into(Value.Backend, Value.Sequence, Value.AgeFlags, Value.Running, Value.Waiting, Value.Prefill,
       Value.Used, Value.Cached);
}

template <typename Archive> void serialize(Archive &Into, backend_record &Value) {
  Into(Value.Announcement, Value.Sequence, Value.LoadSequence, Value.Load, Value.Tombstone);
}

template <typename Archive> void serialize(Archive &Into, host_record &Value) {
  packProcess(Into, Value.Key);
  packName(Into, Value.Domain);
  packList(Into, Value.Addresses, [&Into](peer_address &Address) { packName(Into, Address); });
  Into(Value.Refutation, Value.Status);
  packName(Into, Value.Accuser);
}

template <typename Archive> void serialize(Archive & /*Into*/, record_updates & /*Value*/) {}

template <typename Archive> void serialize(Archive &Into, ping &Value) {
  Into(Value.Nonce);
  packProcess(Into, Value.Target);
}

template <typename Archive> void serialize(Archive &Into, ping_ack &Value) {
  Into(Value.Nonce);
  packProcess(Into, Value.Target);
}

template <typename Archive> void serialize(Archive &Into, ping_request &Value) {
  Into(Value.Nonce);
  packProcess(Into, Value.Target);
  packName(Into, Value.Address);
}

template <typename Archive> void serialize(Archive &Into, sync_request &Value) {
  Into(Value.Nonce);
  for (std::uint64_t &Bucket : Value.Buckets)
    Into(Bucket);
}

template <typename Archive> void serialize(Archive &Into, subject_version &Value) {
  Into(Value.Subject, Value.Incarnation, Value.Version);
}

template <typename Archive> void serialize(Archive &Into, sync_versions &Value) {
  Into(Value.Nonce, Value.Differing, Value.Covered);
  packList(Into, Value.Versions);
}

template <typename Archive> void serialize(Archive &Into, sync_fetch &Value) {
  packList(Into, Value.Subjects);
}

template <typename Archive> void serialize(Archive &Into, load_query &Value) {
  packList(Into, Value.Backends);
}

template <typename Archive> void serialize(Archive &Into, membership_message &Value) {
  packProcess(Into, Value.Sender);
  Into(Value.Body);
  packList(Into, Value.Hosts);
  packList(Into, Value.Backends);
  packList(Into, Value.Loads);
}

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_MEMBERSHIP_CODEC_FUNC_H
