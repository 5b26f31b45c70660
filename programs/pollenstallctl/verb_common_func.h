/** @file verb_common_func.h Functions that several verbs share. */
#ifndef POLLENSTALL_POLLENSTALLCTL_VERB_COMMON_FUNC_H
#define POLLENSTALL_POLLENSTALLCTL_VERB_COMMON_FUNC_H

#include "control_client_base.h"
#include "ctl_type.h"

#include <string>

namespace pollenstall {

/// A declaration that control has accepted.
struct accepted_declaration {
  revision Revision;
  fleet_declaration Fleet;
};

/// @return The contents of a file; fails with BadUsage if it cannot be read.
result<std::string, verb_failure> readFile(const std::string &Path);

/// Reads and validates a declaration file.
result<fleet_declaration, verb_failure> readDeclaration(const std::string &Path);

/// @return A client for the control hosts that the options name.
result<control_client, verb_failure> makeClient(const ctl_options &Options);

/// @return The bearer key of the key file without its line end; empty if the options name no file.
result<std::string, verb_failure> readKey(const ctl_options &Options);

/// Sends a GET request to control. Any status other than 200 is a failure.
result<boost::json::value, verb_failure> fetch(control_client &Client, const std::string &Path);

/// @return The leader's status if it is available, otherwise that of another control host.
result<boost::json::value, verb_failure> fetchStatus(control_client &Client);

/// @return The declaration in force; revision 0 is the empty one.
result<accepted_declaration, verb_failure> fetchDeclaration(control_client &Client);

/// Sends a change. @return The body of a 200 response, or the failure.
result<boost::json::value, verb_failure> sendChange(control_client &Client, const std::string &Path,
                                                    const boost::json::value &Body);

/**
 * Returns the operator's change id, or a random one if none was given, and prints it before
 * anything is sent: an operator needs it to resend the change if the tool is killed.
 * @param Base Printed too, if the change has one: a resend must use the same base revision.
 */
std::string announceChangeId(const ctl_options &Options, std::optional<revision> Base);

/// @return The warnings as JSON.
boost::json::value toJson(const std::vector<declaration_warning> &Warnings);

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_VERB_COMMON_FUNC_H
