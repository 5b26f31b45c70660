/** @file entry_announcements.cpp HTTP server that receives the announcements of backend servers. */
#include "announcement_func.h"
#include "entry_base.h"
#include "entry_file_func.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned Unavailable = 503;

} // namespace

result<done, entry_error> entry::startAnnouncements() {
  if (usesDirectory())
    return done{};
  std::string Hash;
  if (!Settings.FleetKeyFile.empty()) {
    const auto Key = readFile(Settings.FleetKeyFile);
    if (!Key)
      return entry_error{"cannot read " + Settings.FleetKeyFile};
    Hash = keyHash(trimLineEndings(*Key));
  }
  auto Started = operator_server_builder(Settings.AnnouncementsAddress, Hash)
                     .route("POST", "/v1/announcements", operator_access::KeyNeeded,
                            [this](const operator_call &Call) { return handleAnnouncement(Call); })
                     .start();
  if (!succeeded(Started))
    return entry_error{errorOf(Started).Text};
  Announcements = std::move(valueOf(Started));
  {
    const std::lock_guard<std::mutex> Lock(AnnouncementGuard);
    AnnounceAddress = Announcements->address();
  }
  logListening("announcements", Announcements->address());
  return done{};
}

operator_reply entry::handleAnnouncement(const operator_call &Call) {
  auto Read = readAnnouncement(Call.Body, Settings.Fleet);
  if (!succeeded(Read)) {
    const announcement_fault &Fault = errorOf(Read);
    const call_error Error = invalidField(Fault.Field, Fault.Field + " " + Fault.Message);
    return {BadRequest, "application/json", errorBody(Error)};
  }
  const std::lock_guard<std::mutex> Lock(AnnouncementGuard);
  if (!Gossip->announcements().push(valueOf(std::move(Read))))
    return {Unavailable, "application/json", "{}"};
  return {200, "application/json", announceToJson()};
}

std::string entry::announceToJson() const {
  boost::json::array Addresses;
  if (!AnnounceAddress.empty())
    Addresses.emplace_back(AnnounceAddress);
  for (const std::string &Peer : Settings.AnnouncementPeers)
    Addresses.emplace_back(Peer);
  return boost::json::serialize(boost::json::object{{"announce_to", std::move(Addresses)}});
}

} // namespace pollenstall
