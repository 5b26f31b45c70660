/** @file verb_explain.cpp explain: which selector a request matches, and why no earlier one. */
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <numeric>

namespace pollenstall {

namespace {

constexpr std::uint64_t HundredPercent = 100;

/// The declaration that a request is matched against, and its source.
struct explained_declaration {
  fleet_declaration Fleet;
  std::string Source;
};

result<explained_declaration, verb_failure> loadDeclaration(const ctl_options &Options) {
  if (!Options.File.empty()) {
    auto Read = readDeclaration(Options.File);
    if (!succeeded(Read))
      return errorOf(Read);
    return explained_declaration{valueOf(std::move(Read)), Options.File};
  }
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  auto Accepted = fetchDeclaration(valueOf(Client));
  if (!succeeded(Accepted))
    return errorOf(Accepted);
  return explained_declaration{valueOf(Accepted).Fleet,
                               "revision " + std::to_string(valueOf(Accepted).Revision.value())};
}

/// Returns why the request would be refused before selectors are tested, or nothing.
std::optional<std::string> findRefusal(const declaration_index &Index,
                                       const selector_input &Input) {
  if (!Index.findAccountByName(Input.Account))
    return "account " + Input.Account.str() + " is not declared";
  const service_declaration *Service = Index.findService(Input.Service);
  if (!Service)
    return Input.Service.empty() ? "model " + Input.Model.str() + " is not declared"
                                 : "service " + Input.Service.str() + " is not declared";
  const auto &Models = Service->Models;
  if (!Input.Model.empty() && std::find(Models.begin(), Models.end(), Input.Model) == Models.end())
    return "service " + Input.Service.str() + " has no model " + Input.Model.str();
  if (Service->Kind == service_kind::Model && Input.Prompt > Service->MaxPrompt)
    return "the service takes prompts of at most " + std::to_string(Service->MaxPrompt.value()) +
           " tokens";
  return std::nullopt;
}

std::uint64_t totalWeight(const std::vector<group_share> &Groups) {
  return std::accumulate(Groups.begin(), Groups.end(), std::uint64_t{0},
                         [](std::uint64_t Sum, const group_share &G) { return Sum + G.Weight; });
}

std::string groupText(const std::vector<group_share> &Groups) {
  std::string Text;
  for (const group_share &Share : Groups) {
    Text += "  group " + Share.Group.str() + ": ";
    Text += Share.Weight == 0
                ? "only when no other group has a server\n"
                : std::to_string(Share.Weight * HundredPercent / totalWeight(Groups)) + " %\n";
  }
  return Text;
}

boost::json::array groupJson(const std::vector<group_share> &Groups) {
  boost::json::array List;
  for (const group_share &Share : Groups)
    List.push_back(boost::json::object{{"group", Share.Group.str()}, {"weight", Share.Weight}});
  return List;
}

verb_output makeOutput(const explained_declaration &Declaration, const selector_input &Input) {
  const selection Selection = select(Declaration.Fleet, Input);
  std::string Text = "using " + Declaration.Source + ", service " + Input.Service.str() + ":\n";
  boost::json::array Mismatches;
  for (const selector_mismatch &Miss : Selection.Mismatches) {
    const auto Selector =
        std::find_if(Declaration.Fleet.Selectors.begin(), Declaration.Fleet.Selectors.end(),
                     [&](const selector_declaration &S) { return S.Name == Miss.Selector; });
    const std::string Reason = explainMismatch(Miss, *Selector, Input);
    Text += "  selector " + Miss.Selector.str() + " does not match: " + Reason + "\n";
    Mismatches.push_back(
        boost::json::object{{"selector", Miss.Selector.str()}, {"reason", Reason}});
  }
  Text += "  selector " + Selection.Selector.str() + " matches\ngoes to\n" +
          groupText(Selection.Groups);
  return {std::move(Text), boost::json::object{{"source", Declaration.Source},
                                               {"service", Input.Service.str()},
                                               {"selector", Selection.Selector.str()},
                                               {"groups", groupJson(Selection.Groups)},
                                               {"not_matching", std::move(Mismatches)}}};
}

} // namespace

verb_result runExplain(const ctl_options &Options) {
  if (Options.Request.Account.empty() ||
      (Options.Request.Service.empty() && Options.Request.Model.empty()))
    return verb_failure{
        ctl_exit::BadUsage, "explain needs --account and one of --service and --model", {}};
  auto Loaded = loadDeclaration(Options);
  if (!succeeded(Loaded))
    return errorOf(Loaded);
  const declaration_index Index(valueOf(Loaded).Fleet);
  selector_input Input = Options.Request;
  if (Input.Service.empty())
    if (const service_declaration *Service = Index.findModel(Input.Model.str()))
      Input.Service = Service->Name;
  if (const auto Refusal = findRefusal(Index, Input))
    return verb_failure{ctl_exit::Refused, "the request would be refused: " + *Refusal, {}};
  return makeOutput(valueOf(Loaded), Input);
}

} // namespace pollenstall
