/** @file sample_fleet.cpp Generates declarations, engines and requests for the benchmarks. */
#include "sample_fleet_func.h"

#include <cstdio>

namespace pollenstall::bench {
namespace {

constexpr std::size_t AccountsPerSelector = 20;
constexpr std::size_t DomainCount = 6;
constexpr std::int64_t EngineBlocks = 40'000;
constexpr std::uint64_t RequestsPerLongPrompt = 50;
constexpr std::int64_t ShortPrompt = 4'000;
constexpr std::int64_t LongPrompt = 200'000;
constexpr std::int64_t AnswerLimit = 400;
constexpr std::size_t PrefixCount = 4;

model_name modelName(std::size_t Index) {
  return model_name("model-" + std::to_string(Index % ModelCount));
}

group_name groupName(std::size_t Index, const std::string &Track) {
  return group_name(modelName(Index).str() + "-" + Track);
}

selector_declaration selectorFor(std::size_t Model, const std::string &Name) {
  selector_declaration Selector;
  Selector.Name = selector_name(Name);
  Selector.Service = service_name("llm");
  Selector.Models = {modelName(Model)};
  Selector.Groups = {{groupName(Model, "stable"), 1}};
  return Selector;
}

std::vector<std::uint64_t> makePrefixHashes(std::uint64_t Number) {
  std::vector<std::uint64_t> Hashes;
  for (std::uint64_t Index = 0; Index < PrefixCount; ++Index)
    Hashes.push_back(combineHashes(Number, Index));
  return Hashes;
}

} // namespace

client_account_name makeAccountName(std::size_t Index) {
  return client_account_name("account-" + std::to_string(Index));
}

std::string makeKeyHash(std::size_t Index) {
  std::string Text;
  for (std::uint64_t Part = 0; Part < 4; ++Part) {
    char Digits[17];
    std::snprintf(Digits, sizeof Digits, "%016llx",
                  static_cast<unsigned long long>(combineHashes(Index, Part)));
    Text += Digits;
  }
  return Text;
}

fleet_declaration sampleDeclaration(std::size_t Accounts) {
  fleet_declaration Fleet;
  service_declaration Service;
  Service.Name = service_name("llm");
  for (std::size_t Model = 0; Model < ModelCount; ++Model) {
    Service.Models.push_back(modelName(Model));
    for (const std::string Track : {"stable", "canary"})
      Fleet.Groups.push_back({groupName(Model, Track),
                              Service.Name,
                              {{"model", modelName(Model).str()}, {"track", Track}}});
  }
  Fleet.Services.push_back(Service);
  for (std::size_t Index = 0; Index < Accounts; ++Index)
    Fleet.Accounts.push_back({makeAccountName(Index), {makeKeyHash(Index)}, 1, 256});
  for (std::size_t Index = 0; Index < Accounts; Index += AccountsPerSelector) {
    Fleet.Selectors.push_back(selectorFor(Index, "own-" + std::to_string(Index)));
    Fleet.Selectors.back().Accounts = {makeAccountName(Index)};
  }
  for (std::size_t Model = 0; Model < ModelCount; ++Model)
    Fleet.Selectors.push_back(selectorFor(Model, "rest-" + std::to_string(Model)));
  // The last selector of a service must have no conditions.
  Fleet.Selectors.push_back(selectorFor(0, "rest"));
  Fleet.Selectors.back().Models.clear();
  return Fleet;
}

backend_view makeEngineView(std::size_t Index, mono_time Now) {
  backend_view View;
  backend_announcement &Engine = View.Announcement;
  Engine.Key = {backend_address("10.0." + std::to_string(Index / 250) + "." +
                                std::to_string(Index % 250) + ":8000"),
                incarnation(1)};
  Engine.Service = service_name("llm");
  Engine.Domain = failure_domain_name("domain-" + std::to_string(Index % DomainCount));
  Engine.Labels = {{"model", modelName(Index).str()}, {"track", "stable"}};
  Engine.Models = {modelName(Index)};
  Engine.Capabilities.Priorities = true;
  Engine.Capabilities.Cancels = true;
  Engine.Memory = memory_blocks(EngineBlocks);
  View.LoadReportedAt = Now;
  View.Load.Running = 4;
  return View;
}

work_item makeWorkItem(std::uint64_t Number, std::size_t Accounts, mono_time Now) {
  work_item Item;
  Item.Request = request_number(Number);
  Item.Account = makeAccountName(Number % Accounts);
  Item.Service = service_name("llm");
  Item.Model = modelName(Number);
  Item.Groups = {{groupName(Number, "stable"), 1}};
  Item.Prompt = tokens(Number % RequestsPerLongPrompt == 0 ? LongPrompt : ShortPrompt);
  Item.AnswerLimit = tokens(AnswerLimit);
  Item.PrefixHashes = makePrefixHashes(Number);
  Item.Arrived = Now;
  Item.Deadline = Now + std::chrono::minutes(2);
  return Item;
}

request_facts makeRequestFacts(std::uint64_t Number, std::size_t Accounts, mono_time Now) {
  const work_item Item = makeWorkItem(Number, Accounts, Now);
  request_facts Facts;
  Facts.Id = Item.Request;
  Facts.Account = Item.Account;
  Facts.Service = Item.Service;
  Facts.Model = Item.Model;
  Facts.Prompt = Item.Prompt;
  Facts.AnswerLimit = Item.AnswerLimit;
  Facts.PrefixHashes = Item.PrefixHashes;
  Facts.Arrived = Now;
  Facts.Deadline = Item.Deadline;
  return Facts;
}

} // namespace pollenstall::bench
