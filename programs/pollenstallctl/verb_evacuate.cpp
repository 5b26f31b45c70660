/** @file verb_evacuate.cpp evacuate DOMAIN, restore DOMAIN, and evacuations, which lists them. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <iostream>

namespace pollenstall {

namespace {

constexpr const char *Path = "/v1/evacuations";
constexpr std::size_t MaxDomainBytes = 255;

result<boost::json::value, verb_failure> setEvacuation(control_client &Client,
                                                       const std::string &Domain, bool Undo) {
  return sendChange(Client, Path, boost::json::object{{"domain", Domain}, {"undo", Undo}});
}

result<control_client, verb_failure> clientFor(const ctl_options &Options,
                                               const std::string &Domain) {
  if (Domain.empty() || Domain.size() > MaxDomainBytes)
    return verb_failure{ctl_exit::BadUsage,
                        Options.Verb + ": allowed: the name of a failure domain, 1 to 255 bytes",
                        {}};
  return makeClient(Options);
}

const boost::json::array *domainsOf(const boost::json::value &Body) {
  const boost::json::value *Domains = findMember(Body, "domains");
  return Domains && Domains->is_array() ? &Domains->get_array() : nullptr;
}

/// A mistyped name is accepted, because servers of the domain may announce themselves later.
void warnIfUnknown(control_client &Client, const std::string &Domain) {
  const auto Body = fetch(Client, Path);
  const auto *Domains = succeeded(Body) ? domainsOf(valueOf(Body)) : nullptr;
  const bool Unknown =
      Domains && std::any_of(Domains->begin(), Domains->end(), [&](const auto &Listed) {
        return textAt(Listed, "domain") == Domain && numberAt(Listed, "servers") == 0;
      });
  if (Unknown)
    std::cerr << "warning: control hosts list no backend server in " << Domain
              << "; check the name\n";
}

boost::json::array readableRows(const boost::json::array &Domains) {
  boost::json::array Rows;
  for (const boost::json::value &Domain : Domains)
    Rows.push_back(
        boost::json::object{{"domain", textAt(Domain, "domain")},
                            {"since", timeText(numberAt(Domain, "since_unix_ms").value_or(0))},
                            {"listed servers", numberAt(Domain, "servers").value_or(0)}});
  return Rows;
}

std::string progressText(const boost::json::value &Body) {
  const auto Number = [&](const char *Key) {
    return std::to_string(numberAt(Body, Key).value_or(0));
  };
  return "requests that still run there: " + Number("requests_left") +
         "; entries that have not confirmed: " + Number("entries_unconfirmed") + " of " +
         Number("entries") + "\n";
}

} // namespace

verb_result runEvacuate(const ctl_options &Options) {
  const std::string &Domain = Options.Arguments[0];
  auto Client = clientFor(Options, Domain);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Response = setEvacuation(valueOf(Client), Domain, false);
  if (!succeeded(Response))
    return errorOf(Response);
  warnIfUnknown(valueOf(Client), Domain);
  return verb_output{"accepted: " + Domain + " takes no new work\n", valueOf(Response)};
}

verb_result runRestore(const ctl_options &Options) {
  const std::string &Domain = Options.Arguments[0];
  auto Client = clientFor(Options, Domain);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Response = setEvacuation(valueOf(Client), Domain, true);
  if (!succeeded(Response))
    return errorOf(Response);
  return verb_output{"accepted: " + Domain + " takes new work again\n", valueOf(Response)};
}

verb_result runEvacuations(const ctl_options &Options) {
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Body = fetch(valueOf(Client), Path);
  if (!succeeded(Body))
    return errorOf(Body);
  const auto *Domains = domainsOf(valueOf(Body));
  if (!Domains || Domains->empty())
    return verb_output{"no failure domain is evacuated\n", valueOf(Body)};
  return verb_output{tableText(readableRows(*Domains)) + progressText(valueOf(Body)),
                     valueOf(Body)};
}

} // namespace pollenstall
