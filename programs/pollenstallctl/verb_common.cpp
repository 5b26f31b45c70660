/** @file verb_common.cpp Reads files and keys, fetches from control, sends changes. */
#include "verb_common_func.h"

#include "json_text_func.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

namespace pollenstall {

namespace {

constexpr unsigned int StatusOk = 200;
constexpr unsigned int StatusConflict = 409;

boost::json::value toJson(const std::vector<declaration_error> &Errors) {
  boost::json::array List;
  for (const declaration_error &Error : Errors)
    List.push_back(boost::json::object{{"file", Error.File},
                                       {"line", Error.Line},
                                       {"key", Error.Key},
                                       {"allowed", Error.Allowed}});
  return List;
}

/// Returns a line "file:line: key: allowed: ..." for each detail of a rejection.
std::string detailText(const boost::json::value &Body) {
  const auto *Error = findMember(Body, "error");
  const auto *Details = Error ? findMember(*Error, "details") : nullptr;
  if (!Details || !Details->is_array())
    return {};
  std::string Text;
  for (const boost::json::value &Detail : Details->get_array())
    Text += "\n" + textAt(Detail, "file") + ":" +
            std::to_string(numberAt(Detail, "line").value_or(0)) + ": " + textAt(Detail, "key") +
            ": allowed: " + textAt(Detail, "allowed");
  return Text;
}

verb_failure failureOf(const control_response &Response) {
  const std::string Status = "status " + std::to_string(Response.Status);
  // The status 409 is also returned for a change id that was used for another change.
  if (Response.Status != StatusConflict || errorCode(Response.Body) != "conflict")
    return {ctl_exit::Refused,
            "refused with " + Status + ": " + errorMessage(Response.Body) +
                detailText(Response.Body),
            Response.Body};
  const auto InForce = numberAt(Response.Body, "revision");
  return {ctl_exit::Conflict,
          "conflict: " + errorMessage(Response.Body) +
              (InForce ? "; the revision in force is " + std::to_string(*InForce) : ""),
          Response.Body};
}

/// Returns 128 random bits in hex.
std::string randomId() {
  constexpr int WordCount = 4;
  constexpr int DigitsPerWord = 8;
  std::random_device Device;
  std::ostringstream Text;
  Text << std::hex << std::setfill('0');
  for (int Word = 0; Word < WordCount; ++Word)
    Text << std::setw(DigitsPerWord) << Device();
  return Text.str();
}

/// Returns the failure for a lost response, with the options that a resend must repeat.
verb_failure unknownOutcome(const control_failure &Failure, const boost::json::value &Change) {
  const std::string Id = textAt(Change, "change_id");
  const auto Base = numberAt(Change, "base_revision");
  std::string ResendOptions = Id.empty() ? "the same command" : "--change-id " + Id;
  if (Base)
    ResendOptions += " --base-revision " + std::to_string(*Base);
  boost::json::object Details{{"change_id", Id}};
  if (Base)
    Details["base_revision"] = *Base;
  return {ctl_exit::UnknownOutcome,
          "the outcome is unknown: " + Failure.Message + "; resend with " + ResendOptions,
          std::move(Details)};
}

verb_failure incompleteResponse(const std::string &MissingField) {
  return {ctl_exit::Refused, "the response of the control host lacks " + MissingField, {}};
}

} // namespace

result<std::string, verb_failure> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  if (!File || !(Text << File.rdbuf()))
    return verb_failure{ctl_exit::BadUsage, Path + ": allowed: a file that can be read", {}};
  return Text.str();
}

result<fleet_declaration, verb_failure> readDeclaration(const std::string &Path) {
  const auto Text = readFile(Path);
  if (!succeeded(Text))
    return errorOf(Text);
  auto Parsed = parseDeclaration(valueOf(Text), Path);
  if (!succeeded(Parsed))
    return verb_failure{ctl_exit::Refused, toText(errorOf(Parsed)), toJson(errorOf(Parsed))};
  return valueOf(std::move(Parsed));
}

result<std::string, verb_failure> readKey(const ctl_options &Options) {
  if (Options.KeyFile.empty())
    return std::string();
  auto Text = readFile(Options.KeyFile);
  if (!succeeded(Text))
    return Text;
  std::string Key = valueOf(std::move(Text));
  Key.erase(Key.find_last_not_of("\r\n") + 1);
  // A line break in the key would end the header and start another one.
  if (Key.empty() || Key.find_first_of("\r\n") != std::string::npos)
    return verb_failure{ctl_exit::BadUsage, Options.KeyFile + ": allowed: one line with a key", {}};
  return Key;
}

result<control_client, verb_failure> makeClient(const ctl_options &Options) {
  if (Options.ControlUrls.empty())
    return verb_failure{ctl_exit::BadUsage, "--control URL is required; see --help", {}};
  std::vector<http_url> Urls;
  for (const std::string &Text : Options.ControlUrls) {
    const auto Url = parseUrl(Text);
    if (!Url)
      return verb_failure{
          ctl_exit::BadUsage, "--control " + Text + ": allowed: http://IP:PORT", {}};
    Urls.push_back(*Url);
  }
  auto Key = readKey(Options);
  if (!succeeded(Key))
    return errorOf(Key);
  return control_client(std::move(Urls), valueOf(std::move(Key)), Options.Timeout);
}

result<boost::json::value, verb_failure> fetch(control_client &Client, const std::string &Path) {
  const auto Result = Client.get(Path);
  if (!succeeded(Result))
    return verb_failure{
        ctl_exit::NotReachable, "no control host answered: " + errorOf(Result).Message, {}};
  if (valueOf(Result).Status != StatusOk)
    return failureOf(valueOf(Result));
  return valueOf(Result).Body;
}

result<boost::json::value, verb_failure> fetchStatus(control_client &Client) {
  auto AnyHostStatus = fetch(Client, "/v1/status");
  if (!succeeded(AnyHostStatus) || flagAt(valueOf(AnyHostStatus), "serving").value_or(false))
    return AnyHostStatus;
  // Followers report only their own state. Only the leader knows the entries and the revision in
  // force.
  if (!Client.preferHost(textAt(valueOf(AnyHostStatus), "leader_url")))
    return AnyHostStatus;
  auto LeaderStatus = fetch(Client, "/v1/status");
  return succeeded(LeaderStatus) ? LeaderStatus : AnyHostStatus;
}

result<accepted_declaration, verb_failure> fetchDeclaration(control_client &Client) {
  const auto Body = fetch(Client, "/v1/declaration");
  if (!succeeded(Body))
    return errorOf(Body);
  const auto Revision = numberAt(valueOf(Body), "revision");
  if (!Revision)
    return incompleteResponse("the revision");
  auto Parsed =
      parseDeclaration(textAt(valueOf(Body), "text"), "revision-" + std::to_string(*Revision));
  if (!succeeded(Parsed))
    return verb_failure{ctl_exit::Refused,
                        "cannot parse the declaration in force; this tool may be older than the "
                        "control hosts:\n" +
                            toText(errorOf(Parsed)),
                        toJson(errorOf(Parsed))};
  return accepted_declaration{revision(*Revision), valueOf(std::move(Parsed))};
}

result<boost::json::value, verb_failure> sendChange(control_client &Client, const std::string &Path,
                                                    const boost::json::value &Body) {
  const auto Result = Client.post(Path, Body);
  if (!succeeded(Result) && errorOf(Result).MayBeAccepted)
    return unknownOutcome(errorOf(Result), Body);
  if (!succeeded(Result))
    return verb_failure{ctl_exit::NotReachable,
                        "not accepted; no control host processed the change: " +
                            errorOf(Result).Message,
                        {}};
  if (valueOf(Result).Status != StatusOk)
    return failureOf(valueOf(Result));
  return valueOf(Result).Body;
}

std::string announceChangeId(const ctl_options &Options, std::optional<revision> Base) {
  std::string Id = Options.ChangeId.empty() ? randomId() : Options.ChangeId;
  std::ostream &Out = Options.Json ? std::cerr : std::cout;
  Out << "change id " << Id;
  if (Base)
    Out << ", base revision " << *Base;
  Out << std::endl;
  return Id;
}

boost::json::value toJson(const std::vector<declaration_warning> &Warnings) {
  boost::json::array List;
  for (const declaration_warning &Warning : Warnings)
    List.push_back(boost::json::object{{"item", Warning.Item}, {"message", Warning.Message}});
  return List;
}

} // namespace pollenstall
