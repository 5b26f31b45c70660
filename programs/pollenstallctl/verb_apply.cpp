/** @file verb_apply.cpp apply FILE: sends a declaration as a change, and waits where asked to. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace pollenstall {

namespace {

/**
 * @return The revision that every entry with a lease has confirmed; none where control does not
 * tell. An entry without a lease takes no new requests, so it holds nothing up.
 */
std::optional<std::uint64_t> revisionInForce(const boost::json::value &Status) {
  if (const auto Told = numberAt(Status, "revision_in_force"))
    return Told;
  const auto *Entries = memberOf(Status, "entries");
  if (!Entries || !Entries->is_array())
    return std::nullopt;
  std::optional<std::uint64_t> Lowest;
  for (const boost::json::value &Entry : Entries->get_array()) {
    if (!flagAt(Entry, "lease").value_or(true))
      continue;
    const std::uint64_t Confirmed = numberAt(Entry, "revision").value_or(0);
    Lowest = std::min(Lowest.value_or(Confirmed), Confirmed);
  }
  return Lowest;
}

result<done, verb_failure> waitInForce(control_client &Client, std::uint64_t Revision) {
  std::string Last = "no status";
  do {
    const auto Status = fetch(Client, "/v1/status");
    const auto InForce = succeeded(Status) ? revisionInForce(valueOf(Status)) : std::nullopt;
    if (InForce && *InForce >= Revision)
      return done{};
    if (InForce)
      Last = "revision " + std::to_string(*InForce) + " is";
    else if (!succeeded(Status))
      Last = errorOf(Status).Message;
  } while (Client.pause());
  return verb_failure{ctl_exit::NotInForce,
                      "accepted as revision " + std::to_string(Revision) +
                          ", but not seen in force everywhere in time: " + Last,
                      boost::json::object{{"revision", Revision}}};
}

result<revision, verb_failure> baseRevision(control_client &Client, const ctl_options &Options) {
  if (Options.BaseRevision)
    return *Options.BaseRevision;
  const auto Body = fetch(Client, "/v1/declaration");
  if (!succeeded(Body))
    return errorOf(Body);
  return revision(numberAt(valueOf(Body), "revision").value_or(0));
}

std::string acceptedText(std::uint64_t Revision, bool Repeated, bool Waited) {
  return "accepted as revision " + std::to_string(Revision) +
         (Repeated ? ", as answered before" : "") + (Waited ? ", in force everywhere" : "") + "\n";
}

} // namespace

verb_result runApply(const ctl_options &Options) {
  const auto Read = readDeclaration(Options.Arguments[0]);
  if (!succeeded(Read))
    return errorOf(Read);
  auto Made = makeClient(Options);
  if (!succeeded(Made))
    return errorOf(Made);
  control_client &Client = valueOf(Made);
  const auto Base = baseRevision(Client, Options);
  if (!succeeded(Base))
    return errorOf(Base);
  const std::string Id = announceChangeId(Options);
  const auto Answer = sendChange(Client, "/v1/changes",
                                 boost::json::object{{"change_id", Id},
                                                     {"base_revision", valueOf(Base).value()},
                                                     {"text", toCanonicalText(valueOf(Read))}});
  if (!succeeded(Answer))
    return errorOf(Answer);
  const std::uint64_t Revision = numberAt(valueOf(Answer), "revision").value_or(0);
  const bool Repeated = flagAt(valueOf(Answer), "repeated").value_or(false);
  if (Options.Wait)
    if (const auto Waited = waitInForce(Client, Revision); !succeeded(Waited))
      return errorOf(Waited);
  boost::json::object Json{{"change_id", Id}, {"revision", Revision}, {"repeated", Repeated}};
  if (Options.Wait)
    Json["in_force"] = true;
  return verb_output{acceptedText(Revision, Repeated, Options.Wait), std::move(Json)};
}

} // namespace pollenstall
