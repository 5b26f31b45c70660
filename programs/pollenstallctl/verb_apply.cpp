/** @file verb_apply.cpp apply FILE: sends a declaration as a change, and waits where asked to. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/object.hpp>

namespace pollenstall {

namespace {

/// @return What the serving leader knows to be in force; an isolated host knows nothing of that.
std::optional<std::uint64_t> revisionInForce(const boost::json::value &Status) {
  if (!flagAt(Status, "serving").value_or(false))
    return std::nullopt;
  return numberAt(Status, "in_force_revision");
}

result<done, verb_failure> waitInForce(control_client &Client, std::uint64_t Revision) {
  std::string Last = "no control host tells what is";
  do {
    const auto Status = fetchStatus(Client);
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
  // Once the first try was accepted, the revision in force is another base: another change.
  if (!Options.ChangeId.empty())
    return verb_failure{ctl_exit::BadUsage,
                        "--change-id needs the --base-revision of the first try, which apply "
                        "printed with the id",
                        {}};
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
  const std::string Id = announceChangeId(Options, valueOf(Base));
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
