/** @file control_link_codec_func.h cereal functions for the messages of the control link. */
#ifndef POLLENSTALL_CONTROL_LINK_CONTROL_LINK_CODEC_FUNC_H
#define POLLENSTALL_CONTROL_LINK_CONTROL_LINK_CODEC_FUNC_H

#include "control_link/control_link_message_type.h"
#include "text_difference/text_difference.h"
#include "wire/wire.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenstall {

template <typename Archive> void serialize(Archive &Into, claim_key_hash &Key) {
  Into(Key.High, Key.Low);
}
template <typename Archive> void serialize(Archive &Into, claim_holder &Holder) {
  Into(Holder.Owner, Holder.Request);
}
template <typename Archive> void serialize(Archive &Into, claim_acquire &Claim) {
  Into(Claim.Key, Claim.Holder, Claim.ExpiresAt);
}
template <typename Archive> void serialize(Archive &Into, claim_settle &Claim) {
  Into(Claim.Key, Claim.Holder, Claim.State, Claim.ExpiresAt);
}
template <typename Archive> void serialize(Archive &Into, link_subscribe &Message) {
  Into(Message.Process, Message.Domain, Message.WorkAddress, Message.HeldRevision);
}
template <typename Archive> void serialize(Archive &Into, link_renew &Message) {
  Into(Message.RenewId, Message.Process, Message.Confirmed, Message.DrainsSeen,
       Message.HeldRevision);
}
template <typename Archive> void serialize(Archive &Into, link_renew_evacuations &Message) {
  Into(Message.Renewal, Message.Received, Message.Confirmed, Message.RequestsLeft);
}
template <typename Archive> void serialize(Archive &Into, link_claim_acquire &Message) {
  Into(Message.Call, Message.Claim);
}
template <typename Archive> void serialize(Archive &Into, link_claim_settle &Message) {
  Into(Message.Call, Message.Claim);
}
template <typename Archive> void serialize(Archive &Into, packed_text &Packed) {
  Into(Packed.UncompressedSize, Packed.Compressed);
}
template <typename Archive> void serialize(Archive &Into, link_declaration &Message) {
  Into(Message.Revision, Message.Text);
}
template <typename Archive> void serialize(Archive &Into, difference_step &Step) {
  Into(Step.CopyOffset, Step.CopyBytes, Step.Inserted);
}
template <typename Archive> void serialize(Archive &Into, text_difference &Difference) {
  Into(Difference.OldHash, Difference.NewHash, Difference.Steps);
}
template <typename Archive> void serialize(Archive &Into, link_declaration_change &Message) {
  Into(Message.Base, Message.Revision, Message.Change);
}
template <typename Archive> void serialize(Archive &Into, link_declaration_announced &Message) {
  Into(Message.Revision);
}
template <typename Archive> void serialize(Archive &Into, link_lease &Message) {
  Into(Message.RenewId, Message.Revision, Message.LeaseMillis);
}
template <typename Archive> void serialize(Archive &Into, link_not_leader &Message) {
  Into(Message.Leader);
}
template <typename Archive> void serialize(Archive &Into, link_claim_answer &Message) {
  Into(Message.Call, Message.Verdict);
}
template <typename Archive> void serialize(Archive &Into, link_settle_answer &Message) {
  Into(Message.Call);
}
template <typename Archive> void serialize(Archive &Into, backend_listing &Listing) {
  Into(Listing.Key, Listing.Instance, Listing.Service, Listing.Domain, Listing.Slots, Listing.State,
       Listing.Started);
}
template <typename Archive> void serialize(Archive &Into, request_fingerprint &Fingerprint) {
  Into(Fingerprint.Account, Fingerprint.HeadHash, Fingerprint.High, Fingerprint.Low);
}
template <typename Archive> void serialize(Archive &Into, published_suspect &Suspect) {
  Into(Suspect.Fingerprint, Suspect.BlockedFor);
}
template <typename Archive> void serialize(Archive &Into, link_crash &Message) {
  Into(Message.Incarnation, Message.Fingerprints);
}
template <typename Archive> void serialize(Archive &Into, link_clear_suspect &Message) {
  Into(Message.Fingerprint);
}
template <typename Archive> void serialize(Archive &Into, link_suspect_run &Message) {
  Into(Message.Fingerprint);
}
template <typename Archive> void serialize(Archive &Into, link_suspects &Message) {
  Into(Message.Suspects);
}
/// @return A listing that states how long another one stays cold. Without name and address, it
/// lists no server: processes of an earlier build, which know no cold servers, ignore it.
inline backend_listing coldNote(const backend_listing &Listing) {
  backend_listing Note;
  Note.Key.Incarnation = Listing.Key.Incarnation;
  Note.State = listing_state::Leaving;
  Note.Started = incarnation_start(static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, Listing.ColdFor.value_or(std::chrono::milliseconds(0)).count())));
  return Note;
}
/// @return Whether the listing was made by coldNote().
inline bool isColdNote(const backend_listing &Listing) {
  return Listing.Instance.empty() && Listing.Key.Address.empty();
}
/// Moves what the cold notes of a list state to the listings that they concern.
inline void applyColdNotes(std::vector<backend_listing> &Listings) {
  std::unordered_map<incarnation, std::chrono::milliseconds> ColdFor;
  for (const backend_listing &Listing : Listings)
    if (isColdNote(Listing))
      ColdFor[Listing.Key.Incarnation] = std::chrono::milliseconds(static_cast<std::int64_t>(
          std::min(Listing.Started.value(), static_cast<std::uint64_t>(MaxColdTime.count()))));
  if (ColdFor.empty())
    return;
  std::erase_if(Listings, isColdNote);
  for (backend_listing &Listing : Listings)
    if (const auto Found = ColdFor.find(Listing.Key.Incarnation); Found != ColdFor.end())
      Listing.ColdFor = Found->second;
}

template <typename Archive> void save(Archive &Into, const link_backends &Message) {
  std::vector<backend_listing> Listings = Message.Listings;
  for (const backend_listing &Listing : Message.Listings)
    if (Listing.ColdFor)
      Listings.push_back(coldNote(Listing));
  Into(Message.IsFullList, Listings);
}
template <typename Archive> void load(Archive &From, link_backends &Message) {
  From(Message.IsFullList, Message.Listings);
  applyColdNotes(Message.Listings);
}
template <typename Archive> void serialize(Archive &Into, served_entry &Entry) {
  Into(Entry.WorkAddress, Entry.Domain);
}
template <typename Archive> void serialize(Archive &Into, link_fleet &Message) {
  Into(Message.Controls, Message.Entries);
}
template <typename Archive> void serialize(Archive &Into, link_evacuations &Message) {
  Into(Message.Version, Message.Domains);
}
template <typename Archive> void serialize(Archive &Into, link_evacuation_change &Message) {
  Into(Message.Version, Message.Domain, Message.Restored);
}
template <typename Archive> void serialize(Archive &Into, link_drains &Message) {
  Into(Message.Version, Message.Backends);
}

/// @return The difference in its compressed wire form.
inline packed_text packDifference(const text_difference &Difference) {
  return pack(encodePlain(Difference));
}

/// @return The new text, or nothing if the difference cannot be decoded or does not apply to Old.
inline std::optional<std::string> applyPackedDifference(std::string_view Old,
                                                        const packed_text &Change) {
  const auto Plain = unpack(Change, MaxLinkReplyBytes);
  if (!Plain)
    return std::nullopt;
  const auto Difference = decodePlain<text_difference>(*Plain);
  if (!succeeded(Difference))
    return std::nullopt;
  return applyDifference(Old, valueOf(Difference), MaxLinkReplyBytes);
}

/// @return One message to a control host or an entry, framed for the wire.
template <typename Message> std::string linkFrame(const std::string &Fleet, const Message &Value) {
  return encodeFrame(encodeEnvelope(Fleet, message_kind::ControlLink, Value));
}

/// @return Whether a received number is a valid enumerator.
inline bool isValidClaimState(claim_state State) { return State <= claim_state::Released; }
/// @return Whether a received number is a valid enumerator.
inline bool isValidListingState(listing_state State) { return State <= listing_state::Gone; }
/// @return Whether a received number is a valid enumerator.
inline bool isValidClaimStatus(claim_status Status) { return Status <= claim_status::Unavailable; }

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CONTROL_LINK_CODEC_FUNC_H
