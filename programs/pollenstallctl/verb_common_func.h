/** @file verb_common_func.h Steps that several verbs share. */
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

/// @return The text of a file, or BadUsage.
result<std::string, verb_failure> readFile(const std::string &Path);

/// Reads and checks a declaration file.
result<fleet_declaration, verb_failure> readDeclaration(const std::string &Path);

/// @return A client for the control hosts that the options name.
result<control_client, verb_failure> makeClient(const ctl_options &Options);

/// @return The bearer key in the key file, without the line's end; empty where no file is named.
result<std::string, verb_failure> readKey(const ctl_options &Options);

/// Asks control for something; any answer but 200 is a failure.
result<boost::json::value, verb_failure> fetch(control_client &Client, const std::string &Path);

/// @return The leader's status where it can be had, otherwise that of any control host.
result<boost::json::value, verb_failure> fetchStatus(control_client &Client);

/// @return The declaration in force; revision 0 is the empty one.
result<accepted_declaration, verb_failure> fetchDeclaration(control_client &Client);

/// Sends a change and turns its answer. @return The body of the answer 200.
result<boost::json::value, verb_failure> sendChange(control_client &Client, const std::string &Path,
                                                    const boost::json::value &Body);

/**
 * Draws a change id, or takes the operator's, and prints it before anything is sent: without it an
 * operator could not resend after the tool itself was killed.
 * @param Base Printed too, for a change that has one: a resend must name the same.
 */
std::string announceChangeId(const ctl_options &Options, std::optional<revision> Base);

/// @return The warnings as JSON.
boost::json::value toJson(const std::vector<declaration_warning> &Warnings);

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_VERB_COMMON_FUNC_H
