/** @file permit_exchange.cpp Choice of issuers, and the way of messages to and from them. */
#include "rate_limit/permit_exchange_base.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <type_traits>

namespace pollenstall {

void permit_exchange::setEntries(const std::vector<std::string> &Addresses, mono_time Now) {
  if (!Entries.empty())
    PastLists.push_back({std::exchange(Entries, {}), EntriesFrom, Now});
  while (!PastLists.empty() && Now - PastLists.front().Until > HistoryLength)
    PastLists.pop_front();
  if (Addresses.empty())
    PastLists.clear();
  EntriesFrom = Now;
  IssuerIndexes.clear();
  for (const std::string &Entry : Addresses)
    Entries.push_back({Entry, stableHash(Entry)});
  Issuer.setEntryCount(std::max<std::size_t>(1, Entries.size()));
  Issuer.keepServers([this](incarnation Server) { return issuerOf(Server) == Address; });
}

std::size_t permit_exchange::issuerIndex(const std::vector<known_entry> &Entries,
                                         incarnation Server) {
  const auto Rank = [Server](const known_entry &Entry) {
    return std::pair(combineHashes(Entry.Hash, Server.value()), std::string_view(Entry.Address));
  };
  const auto Highest = std::max_element(
      Entries.begin(), Entries.end(),
      [&Rank](const known_entry &A, const known_entry &B) { return Rank(A) < Rank(B); });
  return static_cast<std::size_t>(Highest - Entries.begin());
}

mono_time permit_exchange::assignedSince(incarnation Server) const {
  mono_time Since = EntriesFrom;
  for (auto Past = PastLists.rbegin(); Past != PastLists.rend(); ++Past) {
    if (Past->Entries[issuerIndex(Past->Entries, Server)].Address != Address)
      break;
    Since = Past->From;
  }
  return Since;
}

const std::string &permit_exchange::issuerOf(incarnation Server) {
  static const std::string None;
  if (Entries.empty())
    return None;
  const auto [Known, IsNew] = IssuerIndexes.try_emplace(Server, 0);
  if (IsNew)
    Known->second = issuerIndex(Entries, Server);
  return Entries[Known->second].Address;
}

void permit_exchange::send(const permit_message &Message, mono_time Now) {
  const std::string &To =
      std::visit([this](const auto &Item) { return std::cref(issuerOf(Item.Server)); }, Message);
  if (To == Address)
    handleAsIssuer(Message, Address, Now);
  else if (!To.empty())
    Datagrams.push_back({To, Message});
}

void permit_exchange::receive(const permit_message &Message, const std::string &From,
                              mono_time Now) {
  const auto *Reply = std::get_if<permit_reply>(&Message);
  if (Reply == nullptr)
    return handleAsIssuer(Message, From, Now);
  if (issuerOf(Reply->Server) == From)
    OwnReplies.push_back(*Reply);
}

void permit_exchange::handleAsIssuer(const permit_message &Message, const std::string &From,
                                     mono_time Now) {
  std::visit(
      [&](const auto &Item) {
        using message = std::decay_t<decltype(Item)>;
        if constexpr (std::is_same_v<message, permit_request>) {
          if (issuerOf(Item.Server) == Address)
            Issuer.handle(Item, From, Now,
                          Item.Cold ? assignedSince(Item.Server) : mono_time::min());
        } else if constexpr (std::is_same_v<message, limit_report>) {
          if (issuerOf(Item.Server) == Address)
            Issuer.handle(Item, From, Now);
        }
      },
      Message);
  deliverReplies();
}

void permit_exchange::advance(mono_time Now) {
  Issuer.advance(Now);
  deliverReplies();
}

void permit_exchange::deliverReplies() {
  for (permit_issuer::reply &Reply : Issuer.takeReplies()) {
    if (Reply.To.empty() || Reply.To == Address)
      OwnReplies.push_back(Reply.Reply);
    if (!Reply.To.empty() && Reply.To != Address)
      Datagrams.push_back({Reply.To, Reply.Reply});
    if (Reply.To.empty())
      for (const known_entry &Entry : Entries)
        if (Entry.Address != Address)
          Datagrams.push_back({Entry.Address, Reply.Reply});
  }
}

} // namespace pollenstall
