/** @file entry_server_base.h The leader's replies to entries: leases, declarations, claims. */
#ifndef POLLENSTALL_CONTROL_ENTRY_SERVER_BASE_H
#define POLLENSTALL_CONTROL_ENTRY_SERVER_BASE_H

#include "control_state/control_state.h"
#include "entry_listener_base.h"
#include "list_sender_base.h"
#include "send_limiter_base.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Functions of the control host that the entry server uses.
struct entry_server_callbacks {
  std::function<void(outgoing_reply)> Send;
  /// Returns whether this host leads and holds its lease at the given time.
  std::function<bool(mono_time)> MayServe;
  /// Returns where the leader listens for entries; empty if it is unknown or is this host.
  std::function<std::string()> LeaderAddress;
  std::function<const control_state &()> State;
  /// No function is set if gossip announces backend servers.
  listings_after_hook BackendsAfter;
  /// Returns the addresses at which control hosts listen for entries.
  std::function<std::vector<std::string>()> Controls;
  /// Proposes a command to the log; Answered gets nothing if the outcome is unknown.
  std::function<void(const control_command &,
                     std::function<void(std::optional<control_answer>)> Answered)>
      Propose;
};

/// Durations and limits of an entry server.
struct entry_server_options {
  in_force_options Leases;
  /// Limit on the declarations in flight to entries, see send_limiter.
  std::size_t MaxBytesInFlight{1U << 20U};
  /// Rate at which lists of backend servers are sent to all entries together. Part of the link's
  /// rate, because heartbeats and changes share the link.
  double ListBytesPerSecond{10e6};
  /// in_force_options::ApplyWithin for evacuations; empty: as Leases has it.
  std::optional<mono_duration> EvacuateWithin{};
};

/// What the connected entries report about evacuated failure domains.
struct evacuation_progress {
  std::size_t Entries{0};
  std::size_t Unconfirmed{0};    ///< Entries that have not confirmed the current list.
  std::uint64_t RequestsLeft{0}; ///< Requests of all entries that still run in these domains.
};

/// @return Limits for a link of this rate, so that texts delay no heartbeat for longer than one
/// interval and lists leave room for heartbeats, leases and changes.
entry_server_options entryServerOptions(const in_force_options &Leases, double LinkBytesPerSecond,
                                        mono_duration Heartbeat);

/**
 * Handles the sessions of entries. Used on the decision thread only.
 * Leases and declarations are sent only while this host holds its own leader lease: an isolated
 * control host must not let entries keep using a declaration that its successor has replaced.
 */
class entry_server {
public:
  entry_server(const entry_server_options &Settings, entry_server_callbacks Host);

  /// Starts to serve entries. This host leads and has applied all that previous leaders
  /// acknowledged.
  void startLeading(mono_time Now);
  /// Redirects every entry, since this host no longer leads.
  void stopLeading();
  /// Sends what is due. While this host does not lead, redirects waiting entries once the leader is
  /// known.
  void advance(mono_time Now);

  /// Handles a message or the end of a connection.
  void handle(const entry_event &Event, mono_time Now);

  /// Announces a newer declaration of the state to entries, and starts to send its text.
  void declarationChanged(mono_time Now);
  /// Sends the state's changed list of drains to every entry.
  void drainsChanged(mono_time Now);

  /// Sends the state's changed list of suspected requests to every entry.
  void suspectsChanged(mono_time Now);

  /// Sends the last change of the state's list of evacuated failure domains to every entry.
  void evacuationsChanged(const set_evacuation &Change, mono_time Now);
  /// @return Whether the evacuation or restoration with this version of the list may be
  /// acknowledged to its sender.
  [[nodiscard]] bool mayAcknowledgeEvacuation(std::uint64_t Version, mono_time Now) const;
  [[nodiscard]] evacuation_progress evacuationProgress() const;

  /// Sends changed backend servers to every connected entry.
  void backendsChanged(const std::vector<backend_listing> &Changes);
  /// Schedules an update of the fleet list, since a control host's addresses have changed.
  void controlsChanged();

  /// @return The highest revision known to be in force everywhere; nothing if that is unknown.
  std::optional<revision> inForce(mono_time Now);
  /// @return Whether an accepted change may be acknowledged to its sender.
  [[nodiscard]] bool mayAcknowledge(revision Accepted, mono_time Now) const;
  [[nodiscard]] std::vector<tracked_entry> entries() const { return Tracker.entries(); }
  [[nodiscard]] bool isLeading() const { return Leading; }

private:
  struct session {
    link_subscribe Subscription;
    std::optional<revision> Confirmed;
    std::optional<revision> Sent;         ///< Last declaration sent on this connection.
    std::optional<revision> HeldRevision; ///< Revision of the text that the entry has.
    mono_time LastSeen{};
    std::uint64_t SuspectsVersionSent{0}; ///< Version of the last list sent.
    bool InitialStateSent{false};         ///< Backend servers, revision and suspects.
    /// Version of the list of evacuated domains on which the entry acts.
    std::optional<revision> EvacuationsConfirmed{};
    /// Version of the newest list that was sent on this connection or that the entry has reported;
    /// empty: the entry may be of a build that cannot read the list.
    std::optional<std::uint64_t> EvacuationsSent{};
    std::uint32_t RequestsLeft{0}; ///< Of this entry in evacuated domains.
  };

  /// An entry that connected while no leader was known.
  struct waiting_entry {
    mono_time Since;
    std::vector<link_request> Requests; ///< Answered if this host is elected.
  };

  void holdRequest(connection_number From, const link_request &Request, mono_time Now);
  void handleRequest(connection_number From, const link_subscribe &Request, mono_time Now);
  void handleRequest(connection_number From, const link_renew &Request, mono_time Now);
  void handleRequest(connection_number From, const link_renew_evacuations &Request, mono_time Now);
  void handleRequest(connection_number From, const link_claim_acquire &Request, mono_time Now);
  void handleRequest(connection_number From, const link_claim_settle &Request, mono_time Now);
  void handleRequest(connection_number From, const link_crash &Request, mono_time Now);
  void handleRequest(connection_number From, const link_clear_suspect &Request, mono_time Now);
  void handleRequest(connection_number From, const link_suspect_run &Request, mono_time Now);
  [[nodiscard]] link_suspects suspects() const;
  void sendSuspects(connection_number To, session &Session, const link_suspects &All);
  /// @return The session of a renewal, or null if the sender must subscribe first.
  session *findSession(connection_number From, const process_key &Process);
  void renew(connection_number From, session &Session, const link_renew &Request, mono_time Now);
  /// @return The duration of the lease that both trackers allow, or nothing.
  std::optional<mono_duration> grantLease(const session &Session, mono_time Now);
  /// Sends the list if the entry needs it and does not have it.
  /// @param Change Sent in place of the list to an entry with the previous one; may be null.
  void sendEvacuations(connection_number To, session &Session,
                       const set_evacuation *Change = nullptr);
  void redirect(connection_number To);
  void redirectWaiting(mono_time Now);
  [[nodiscard]] bool needsText(const session &Session) const;
  void announceDeclaration();
  void sendTexts(mono_time Now);
  void sendText(connection_number To, session &Session, mono_time Now);
  /// @return The declaration as a message to an entry that has the text of this revision, or none.
  [[nodiscard]] link_reply messageFor(std::optional<revision> HeldRevision);
  [[nodiscard]] const packed_text &packedText();
  [[nodiscard]] const packed_text &packedDifference(revision Base, const std::string &Old);
  void retainText();
  void sendDrains(connection_number To);
  void sendInitialState(connection_number To, session &Session, mono_time Now);
  void recordArrival(connection_number From, const session &Session);
  [[nodiscard]] link_fleet fleet() const;
  void sendFleet(mono_time Now);
  void expireIdleSessions(mono_time Now);

  entry_server_options Options;
  entry_server_callbacks Callbacks;
  in_force_tracker Tracker;
  in_force_tracker EvacuationTracker; ///< Its revisions are versions of the list.
  send_limiter Limiter;
  list_sender Lists;
  std::map<connection_number, session> Sessions;
  std::map<connection_number, waiting_entry> Waiting;
  std::map<revision, std::string> Recent; ///< Texts that differences may refer to.
  /// The newest declaration in its wire form, complete and as differences by base revision. Each is
  /// computed once for all entries.
  std::optional<packed_text> PackedText;
  std::map<revision, packed_text> Differences;
  bool Leading{false};
  bool FleetChanged{false}; ///< Since the last fleet list was sent.
  mono_time NextFleet{};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_ENTRY_SERVER_BASE_H
