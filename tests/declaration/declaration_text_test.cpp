/** @file declaration_text_test.cpp Tests canonical text, differences and the shipped examples. */
#include "declaration/declaration_sample.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

rc::Gen<std::string> texts(const std::string &Alphabet) {
  return rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::elementOf(std::string(Alphabet))));
}

std::string labelValue() {
  const std::string Value = *texts("ab\"\\'#=[]{}~!").as("label value");
  return Value.substr(0, 200);
}

plain_route route(std::size_t Number) {
  plain_route Route;
  Route.Host = *rc::gen::element<std::string>("", "a.example", "b.example");
  Route.PathPrefix = "/p" + std::to_string(Number);
  Route.Methods =
      *rc::gen::elementOf(std::vector<std::vector<std::string>>{{}, {"GET"}, {"GET", "POST"}});
  Route.Idempotent = *rc::gen::arbitrary<bool>();
  return Route;
}

service_declaration service(std::size_t Number) {
  service_declaration Service;
  Service.Name = service_name("s" + std::to_string(Number));
  Service.DefaultTimeout = std::chrono::milliseconds(*rc::gen::inRange(1, 1000));
  Service.MaxTimeout = std::chrono::milliseconds(*rc::gen::inRange(1000, 5000));
  Service.MaxBody = byte_count(*rc::gen::inRange(1024, 1 << 30));
  if (*rc::gen::arbitrary<bool>()) {
    Service.Kind = service_kind::Plain;
    const auto Routes = *rc::gen::inRange<std::size_t>(1, 4);
    for (std::size_t R = 0; R < Routes; ++R)
      Service.Routes.push_back(route(Number * 10 + R));
    return Service;
  }
  Service.Models = {model_name("m" + std::to_string(Number) + labelValue())};
  Service.MaxPrompt = tokens(*rc::gen::inRange(1, 100'000'000));
  Service.MaxAnswer = tokens(*rc::gen::inRange(1, 10'000'000));
  return Service;
}

/// Adds two groups, a selector with conditions, one without, and an account for a service.
void addItemsOf(const service_declaration &Service, std::size_t Number, fleet_declaration &Fleet) {
  const std::string Suffix = std::to_string(Number);
  const group_name A("ga" + Suffix);
  const group_name B("gb" + Suffix);
  Fleet.Groups.push_back({A, Service.Name, {{"v", labelValue()}, {"w.x", labelValue()}}});
  Fleet.Groups.push_back({B, Service.Name, {}});
  if (Service.Kind == service_kind::Model)
    Fleet.Placements.push_back(
        {placement_name("p" + Suffix), Service.Name, A, Service.Models[0],
         *rc::gen::element<std::string>("", "2.1"), *rc::gen::inRange(0U, 9U),
         *rc::gen::element(placement_spread::Domains, placement_spread::None)});
  const client_account_name Account("a" + Suffix);
  std::string Hash = Suffix;
  Hash.resize(64, 'f');
  Fleet.Accounts.push_back({Account, {Hash}, *rc::gen::inRange(1U, 100U), 7});
  selector_declaration Selector;
  Selector.Name = selector_name("x" + Suffix);
  Selector.Service = Service.Name;
  Selector.Models = Service.Models;
  Selector.Accounts = {Account};
  Selector.Headers = {{"x-a", labelValue()}, {"x-b", "with space"}};
  if (Service.Kind == service_kind::Model)
    Selector.PromptFrom = tokens(*rc::gen::inRange(0, 100));
  if (Service.Kind == service_kind::Model && *rc::gen::arbitrary<bool>())
    Selector.PromptBelow = tokens(100);
  Selector.Groups = {{A, *rc::gen::inRange(1U, 9U)}, {B, 0}};
  Fleet.Selectors.push_back(Selector);
  Fleet.Selectors.push_back(
      {selector_name("y" + Suffix), Service.Name, {}, {}, {}, tokens(0), {}, {{A, 1}}});
}

fleet_declaration anyDeclaration() {
  fleet_declaration Fleet;
  const auto Services = *rc::gen::inRange<std::size_t>(0, 4);
  for (std::size_t Number = 0; Number < Services; ++Number) {
    Fleet.Services.push_back(service(Number));
    addItemsOf(Fleet.Services.back(), Number, Fleet);
  }
  Fleet.Policy.ShortWeight = *rc::gen::inRange(0, 1'000'000) / 7919.0;
  Fleet.Policy.LongEngineShare = *rc::gen::inRange(0, 101) / 100.0;
  Fleet.Limits.RetryPercent = *rc::gen::inRange(0U, 101U);
  normaliseOrder(Fleet);
  return Fleet;
}

RC_GTEST_PROP(CanonicalText, ParsesAsAnEqualDeclaration, ()) {
  const fleet_declaration Fleet = anyDeclaration();
  const std::string Text = toCanonicalText(Fleet);
  const auto Result = parseDeclaration(Text, "canonical");
  if (!succeeded(Result))
    RC_FAIL(toText(errorOf(Result)) + Text);
  RC_ASSERT(valueOf(Result) == Fleet);
  RC_ASSERT(toCanonicalText(valueOf(Result)) == Text);
}

RC_GTEST_PROP(Difference, IsEmptyExactlyForEqualDeclarations, ()) {
  const fleet_declaration A = anyDeclaration();
  const fleet_declaration B = anyDeclaration();
  RC_ASSERT(diff(A, A).Changes.empty());
  RC_ASSERT(diff(A, B).Changes.empty() == (A == B));
}

TEST(DifferenceOfSamples, ReportsItemKeyAndBothValues) {
  const auto From = parsed(SampleText);
  const auto Changed = parsed(sampleWith("share = 2", "share = 5"));
  EXPECT_THAT(diff(From, Changed).Changes,
              ElementsAre(declaration_change{change_kind::Changed, declaration_item::Account,
                                             "club-b", "share", "2", "5"}));
  EXPECT_EQ(toText(diff(From, Changed)), "~ account club-b: share 2 -> 5\n");
  const auto Unbounded = parsed(sampleWith("prompt_below_tokens = 1000\n", ""));
  EXPECT_EQ(toText(diff(From, Unbounded)),
            "~ selector try-canary: prompt_below_tokens 1000 -> (none)\n");
}

TEST(DifferenceOfSamples, ReportsAddedRemovedAndMovedItems) {
  const auto From = parsed(SampleText);
  const auto Added = parsed(SampleText + "[[group]]\nname = \"new\"\nservice = \"llm\"\n");
  EXPECT_EQ(toText(diff(From, Added)), "+ group new\n");
  EXPECT_EQ(toText(diff(Added, From)), "- group new\n");
  auto Moved = From;
  std::swap(Moved.Selectors[1], Moved.Selectors[2]);
  EXPECT_EQ(toText(diff(From, Moved)),
            "~ selector portal: tested as number 2 of those kept, was number 3\n"
            "~ selector rest: tested as number 3 of those kept, was number 2\n");
}

class shipped_example : public testing::TestWithParam<std::string> {};

TEST_P(shipped_example, ParsesWithoutWarningAndRoundTrips) {
  const fleet_declaration Fleet = parsed(sourceFile("examples/" + GetParam()));
  EXPECT_THAT(findWarnings(Fleet), IsEmpty()) << toText(findWarnings(Fleet));
  EXPECT_EQ(parsed(toCanonicalText(Fleet)), Fleet);
  EXPECT_EQ(Fleet.Services.size(), 2U);
  EXPECT_EQ(Fleet.Accounts.size(), 10U);
}

INSTANTIATE_TEST_SUITE_P(Examples, shipped_example,
                         testing::Values("accra.toml", "sognebrev.toml"));

TEST(SognebrevsExample, RunsASendAtMostOnce) {
  const declaration_index Index(parsed(sourceFile("examples/sognebrev.toml")));
  EXPECT_FALSE(Index.findRoute("any", "POST", "/portal/newsletters/send")->Idempotent);
  EXPECT_FALSE(
      Index.findRoute("portal.sognebrev.example", "PUT", "/newsletters/send/4")->Idempotent);
  EXPECT_TRUE(Index.findRoute("any", "GET", "/portal/newsletters")->Idempotent);
}

TEST(AccrasExample, SendsWholeMatchesToLargeMemory) {
  const declaration_index Index(parsed(sourceFile("examples/accra.toml")));
  const selector_declaration *Selector = Index.select({service_name("tactic-llm"),
                                                       model_name("tactic-llm"),
                                                       client_account_name("tema-academy"),
                                                       {},
                                                       tokens(900'000)});
  EXPECT_EQ(Selector->Name, selector_name("whole-matches"));
}

} // namespace
} // namespace pollenstall
