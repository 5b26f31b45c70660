/** @file control_cluster.h Control hosts on loopback, and the control side of entries. */
#ifndef POLLENSTALL_TESTS_CONTROL_CONTROL_CLUSTER_H
#define POLLENSTALL_TESTS_CONTROL_CONTROL_CLUSTER_H

#include "control_link/control_link.h"
#include "support/test_support.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pollenstall {

/// @return The answer's body as an object; empty if it is not an object.
boost::json::object objectIn(const http_answer &Answer);

/// @return A valid declaration that differs by Variant.
std::string declarationText(int Variant);
/// @return The body of POST /v1/changes.
std::string changeBody(const std::string &Id, std::uint64_t Base, const std::string &Text);

/// Control hosts that admit and replace members themselves.
struct self_management {
  std::vector<std::string> Domains; ///< The failure domain of each host.
  std::string Tolerance;            ///< Lines of the settings.
};

/// Processes of control hosts with one data folder each.
class control_cluster {
public:
  /// Starts a host for each of the domains.
  explicit control_cluster(self_management NewMembers);
  /// Starts all hosts. @param MoreListen Further lines of the settings' [listen] table.
  explicit control_cluster(std::size_t Hosts = 3, std::string MoreSettings = {},
                           std::string MoreListen = {});

  /// @return The operators' key.
  static const std::string &operatorKey();
  static const std::string &fleet();

  [[nodiscard]] std::size_t size() const { return Hosts.size(); }
  void start(std::size_t Host);
  /// Self-managed hosts only: sets the tolerance that hosts started from now on have.
  void setTolerance(std::string Lines) { SelfManaged->Tolerance = std::move(Lines); }
  void kill(std::size_t Host);
  /// Sends SIGKILL without waiting for the end. May be called from any thread.
  void sendKill(std::size_t Host) { Hosts[Host].Process->kill(); }
  /// Sends SIGTERM and waits for the end. @return The exit code.
  int terminate(std::size_t Host);
  void freeze(std::size_t Host);
  void thaw(std::size_t Host);
  /// Removes the data folder; the host must be down.
  void loseDisk(std::size_t Host);
  [[nodiscard]] bool runs(std::size_t Host) const { return Hosts[Host].Process != nullptr; }

  http_answer get(std::size_t Host, const std::string &Path) const;
  http_answer post(std::size_t Host, const std::string &Path, const std::string &Body) const;
  [[nodiscard]] boost::json::object status(std::size_t Host) const;

  /// @return Whether the leader reports that this member, with an empty disk, requests admission.
  [[nodiscard]] bool asksAdmission(std::size_t Leader, std::uint64_t Member) const;
  /// @return Whether the leader reports that every readmitted member has caught up.
  [[nodiscard]] bool repairIsFinished(std::size_t Leader) const;

  /// Waits for a host that leads and holds its lease. @param Except A host to ignore.
  std::size_t waitForLeader(std::optional<std::size_t> Except = std::nullopt);

  /// Sends a change to the hosts in turn, with the same id, until one gives a final answer.
  http_answer change(const std::string &Id, std::uint64_t Base, const std::string &Text);

  [[nodiscard]] std::vector<std::string> entryAddresses() const;
  [[nodiscard]] const std::string &peerAddress(std::size_t Host) const;
  [[nodiscard]] const std::string &operatorAddress(std::size_t Host) const;
  /// @return The settings as TOML.
  [[nodiscard]] std::string settings(std::size_t Host) const;
  /// @return The log lines of the host's current process.
  [[nodiscard]] std::string log(std::size_t Host) const;

private:
  struct host {
    std::string Peers;
    std::string Entries;
    std::string Operators;
    std::unique_ptr<child_process> Process;
  };

  void startAll(std::size_t Count);
  [[nodiscard]] std::string folder(std::size_t Host) const;
  [[nodiscard]] std::string memberSettings(std::size_t Host) const;

  temp_folder Folder;
  std::string KeyHashFile;
  std::string More;
  std::string Listen;
  std::optional<self_management> SelfManaged;
  std::vector<host> Hosts;
  std::atomic<std::size_t> LastAnswered{0};
};

/// The control side of an entry: uses the declarations that it receives, under a lease.
class test_entry {
public:
  test_entry(const std::vector<std::string> &Controls, const std::string &Host,
             std::uint64_t Incarnation = 1);

  /// Handles events until the condition is true. @return False after Limit.
  bool pumpUntil(const std::function<bool()> &Condition,
                 std::chrono::milliseconds Limit = TestLimit);

  /// Requests a claim and waits. @return The verdict.
  claim_status claim(std::uint64_t Request, const std::string &Key,
                     std::chrono::milliseconds Limit = std::chrono::seconds(20));
  void settle(std::uint64_t Request, const std::string &Key, claim_state FinalState);

  [[nodiscard]] bool ready() const { return Freshness.ready(boot_clock::now()); }
  [[nodiscard]] revision inUse() const { return Freshness.current().value_or(revision()); }

  control_link &link() { return *Link; }
  std::string Text;                    ///< Text of the declaration in use.
  std::size_t ReceivedDeclarations{0}; ///< Number of declarations.
  std::size_t ReceivedStale{0};        ///< Number of those older than the one in use.
  std::vector<backend_address> Drains;
  std::vector<published_suspect> Suspects;
  std::optional<evacuations_changed> Evacuations; ///< The list received last.
  std::uint32_t RequestsLeft{0};                  ///< Reported with each confirmation of a list.
  bool ConfirmsEvacuations{true};
  bool ConfirmsRevisions{true}; ///< If false, uses declarations without confirming them.

private:
  void pump();
  void take(const declaration_received &Event);
  void take(const lease_extended &Event);
  void take(const claim_answered &Event);
  void take(const drains_changed &Event);
  void take(const backends_listed &Event);
  void take(const entries_listed &Event);
  void take(const control_connection_lost &Event);
  void take(const declaration_announced &Event);
  void take(const suspects_listed &Event);
  void take(const evacuations_changed &Event);

  declaration_lease Freshness;
  std::map<request_number, claim_status> Verdicts;
  std::unique_ptr<control_link> Link;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONTROL_CONTROL_CLUSTER_H
