/** @file entry_desk_base.h What the leader answers to entries: leases, declarations, claims. */
#ifndef POLLENSTALL_CONTROL_ENTRY_DESK_BASE_H
#define POLLENSTALL_CONTROL_ENTRY_DESK_BASE_H

#include "control_state/control_state.h"
#include "entry_hub_base.h"
#include "send_pace_base.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// What the desk asks of the rest of the control host.
struct entry_desk_hooks {
  std::function<void(hub_order)> Send;
  /// Whether this host leads and holds its lease at this very moment.
  std::function<bool(mono_time)> MayServe;
  /// Where the leader listens for entries; empty where it is not known, or is this host.
  std::function<std::string()> LeaderAddress;
  std::function<const control_state &()> State;
  /// Every backend server that is listed; empty where backend servers are known by gossip.
  std::function<std::vector<backend_listing>()> Backends;
  /// Where the control hosts listen for entries.
  std::function<std::vector<std::string>()> Controls;
  /// Puts a command into the log; Answered gets nothing where the outcome is not known.
  std::function<void(const control_command &,
                     std::function<void(std::optional<control_answer>)> Answered)>
      Propose;
};

/// Times and bounds of a desk.
struct entry_desk_options {
  in_force_options Leases;
  /// Of declarations on their way to entries at once, see send_pace.
  std::size_t MostBytesUnderWay{1U << 20U};
};

/**
 * Used on the decision thread only.
 * Leases and declarations are given out only while this host holds its own lease as the leader:
 * an isolated control host must not keep entries serving on what its successor has replaced.
 */
class entry_desk {
public:
  entry_desk(const entry_desk_options &Given, entry_desk_hooks Asked);

  /// This host leads and has applied all that its predecessors acknowledged.
  void takeOffice(mono_time Now);
  /// This host leads no more: every entry is sent away.
  void leaveOffice();
  /// Lets time pass: sends what is due. While this host does not lead, entries that wait are told
  /// the leader.
  void advance(mono_time Now);

  void handle(const hub_event &Event, mono_time Now);

  /// The state has a newer declaration.
  void declarationChanged(mono_time Now);
  /// The state has another list of drains.
  void drainsChanged(mono_time Now);

  /// The state tells other requests as suspected.
  void suspectsChanged(mono_time Now);

  /// Backend servers changed. On return every entry in touch is being told.
  void backendsChanged(const std::vector<backend_listing> &Changes);
  /// Another control host is known.
  void controlsChanged();

  /// @return The highest revision known to be in force everywhere; nothing while that is unknown.
  std::optional<revision> inForce(mono_time Now);
  /// @return Whether an accepted change may be acknowledged to whoever made it.
  [[nodiscard]] bool mayAcknowledge(revision Accepted, mono_time Now) const;
  [[nodiscard]] std::vector<entry_lease> entries() const { return Tracker.entries(); }
  [[nodiscard]] bool inOffice() const { return InOffice; }

private:
  struct session {
    link_subscribe Who;
    std::optional<revision> Confirmed;
    std::optional<revision> Sent;  ///< Declaration sent last on this connection.
    std::optional<revision> Holds; ///< Whose text the entry has.
    mono_time LastSeen{};
    std::uint64_t SuspectsTold{0}; ///< Version of the list sent last.
    bool Introduced{false};        ///< Was told of the backend servers and of the fleet.
  };

  /// An entry that came while no leader was known.
  struct waiting_entry {
    mono_time Since;
    std::vector<link_request> Requests; ///< To be answered if this host is elected.
  };

  void hold(connection_number From, const link_request &Request, mono_time Now);
  void handleRequest(connection_number From, const link_subscribe &Request, mono_time Now);
  void handleRequest(connection_number From, const link_renew &Request, mono_time Now);
  void handleRequest(connection_number From, const link_claim_acquire &Request, mono_time Now);
  void handleRequest(connection_number From, const link_claim_settle &Request, mono_time Now);
  void handleRequest(connection_number From, const link_crash &Request, mono_time Now);
  void handleRequest(connection_number From, const link_clear_suspect &Request, mono_time Now);
  [[nodiscard]] link_suspects suspects() const;
  void sendSuspects(connection_number To, session &Session, const link_suspects &All);
  void sendAway(connection_number To);
  void tellWaiting(mono_time Now);
  [[nodiscard]] bool needsText(const session &Session) const;
  void announceDeclaration();
  void sendTexts(mono_time Now);
  void sendText(connection_number To, session &Session, mono_time Now);
  /// @return The declaration as it goes to an entry that holds this text, or none.
  [[nodiscard]] link_reply messageFor(std::optional<revision> Holds);
  [[nodiscard]] const packed_text &packedText();
  [[nodiscard]] const packed_text &packedDifference(revision Base, const std::string &Old);
  void keepText();
  void sendDrains(connection_number To);
  void introduce(connection_number To, session &Session);
  void noteArrival(connection_number From, const session &Session);
  [[nodiscard]] link_fleet fleet() const;
  void sendFleet(mono_time Now);
  void forgetSilentSessions(mono_time Now);

  entry_desk_options Options;
  entry_desk_hooks Hooks;
  in_force_tracker Tracker;
  send_pace Pace;
  std::map<connection_number, session> Sessions;
  std::map<connection_number, waiting_entry> Waiting;
  std::map<revision, std::string> Recent; ///< Texts that differences may build on.
  /// The newest declaration as it travels, whole and by the base of a difference; made once for
  /// all.
  std::optional<packed_text> Whole;
  std::map<revision, packed_text> Differences;
  bool InOffice{false};
  bool FleetChanged{false}; ///< Since entries were last told who there is.
  mono_time NextFleet{};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_ENTRY_DESK_BASE_H
