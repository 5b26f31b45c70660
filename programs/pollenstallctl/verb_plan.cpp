/** @file verb_plan.cpp plan FILE: shows what applying the file would change. */
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace pollenstall {

namespace {

boost::json::value toJson(const declaration_difference &Difference) {
  boost::json::array List;
  for (const declaration_change &Change : Difference.Changes)
    List.push_back(boost::json::object{{"kind", kindText(Change.Kind)},
                                       {"item", itemText(Change.Item)},
                                       {"name", Change.Name},
                                       {"key", Change.Key},
                                       {"from", Change.From},
                                       {"to", Change.To}});
  return List;
}

std::string countText(std::size_t Changes) {
  return std::to_string(Changes) + (Changes == 1 ? " change" : " changes");
}

} // namespace

verb_result runPlan(const ctl_options &Options) {
  const auto Read = readDeclaration(Options.Arguments[0]);
  if (!succeeded(Read))
    return errorOf(Read);
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Accepted = fetchDeclaration(valueOf(Client));
  if (!succeeded(Accepted))
    return errorOf(Accepted);
  const auto Difference = diff(valueOf(Accepted).Fleet, valueOf(Read));
  const auto Warnings = findWarnings(valueOf(Read));
  const std::uint64_t Base = valueOf(Accepted).Revision.value();
  std::string Text = toText(Warnings) + toText(Difference);
  Text += Difference.Changes.empty()
              ? "no change against revision " + std::to_string(Base) + "\n"
              : countText(Difference.Changes.size()) + "; apply with --base-revision " +
                    std::to_string(Base) + "\n";
  return verb_output{std::move(Text), boost::json::object{{"base_revision", Base},
                                                          {"changes", toJson(Difference)},
                                                          {"warnings", toJson(Warnings)}}};
}

} // namespace pollenstall
