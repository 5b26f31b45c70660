/** @file verb_apply.cpp apply FILE: sends a declaration as a change. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/object.hpp>

namespace pollenstall {

namespace {

/// Returns the revision in force if the host is the serving leader: an isolated host cannot know
/// it.
std::optional<std::uint64_t> revisionInForce(const boost::json::value &Status) {
  if (!flagAt(Status, "serving").value_or(false))
    return std::nullopt;
  return numberAt(Status, "in_force_revision");
}

result<done, verb_failure> waitInForce(control_client &Client, std::uint64_t Revision) {
  std::string LastReport = "no control host reported the revision in force";
  do {
    const auto Status = fetchStatus(Client);
    const auto InForce = succeeded(Status) ? revisionInForce(valueOf(Status)) : std::nullopt;
    if (InForce && *InForce >= Revision)
      return done{};
    if (InForce)
      LastReport = "only revision " + std::to_string(*InForce) + " is in force";
    else if (!succeeded(Status))
      LastReport = errorOf(Status).Message;
  } while (Client.waitBeforeRetry());
  return verb_failure{ctl_exit::NotInForce,
                      "accepted as revision " + std::to_string(Revision) +
                          ", but not seen in force everywhere in time: " + LastReport,
                      boost::json::object{{"revision", Revision}}};
}

result<revision, verb_failure> baseRevision(control_client &Client, const ctl_options &Options) {
  if (Options.BaseRevision)
    return *Options.BaseRevision;
  // If the first attempt was accepted, the revision in force has advanced. Using it as the base
  // would make the resend a different change.
  if (!Options.ChangeId.empty())
    return verb_failure{ctl_exit::BadUsage,
                        "--change-id needs the --base-revision of the first attempt, which apply "
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
  const auto Response = sendChange(Client, "/v1/changes",
                                   boost::json::object{{"change_id", Id},
                                                       {"base_revision", valueOf(Base).value()},
                                                       {"text", toCanonicalText(valueOf(Read))}});
  if (!succeeded(Response))
    return errorOf(Response);
  const std::uint64_t Revision = numberAt(valueOf(Response), "revision").value_or(0);
  const bool Repeated = flagAt(valueOf(Response), "repeated").value_or(false);
  if (Options.Wait)
    if (const auto Waited = waitInForce(Client, Revision); !succeeded(Waited))
      return errorOf(Waited);
  boost::json::object Json{{"change_id", Id}, {"revision", Revision}, {"repeated", Repeated}};
  if (Options.Wait)
    Json["in_force"] = true;
  return verb_output{acceptedText(Revision, Repeated, Options.Wait), std::move(Json)};
}

} // namespace pollenstall
