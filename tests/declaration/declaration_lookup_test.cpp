/** @file declaration_lookup_test.cpp Tests lookups of accounts, models, routes and selectors. */
#include "declaration/declaration_sample.h"

#include <gmock/gmock.h>

namespace pollenstall {
namespace {

using testing::ElementsAre;

class request_lookup : public testing::Test {
protected:
  declaration_index Index{parsed(SampleText)};
};

TEST_F(request_lookup, FindsAccountsModelsAndGroups) {
  EXPECT_EQ(Index.findAccount(SampleHashB)->Name, client_account_name("club-b"));
  EXPECT_EQ(Index.findAccount(std::string(64, 'c')), nullptr);
  EXPECT_EQ(Index.findAccountByName(client_account_name("club-a"))->MaxQueued, 256U);
  EXPECT_EQ(Index.findModel("tactic")->Name, service_name("llm"));
  EXPECT_EQ(Index.findModel("portal"), nullptr);
  EXPECT_EQ(Index.findGroup(group_name("canary"))->Labels.at("version"), "2");
  EXPECT_THAT(Index.selectorHeaders(), ElementsAre("x-canary"));
}

class path_lookup : public request_lookup {
protected:
  /// @return "service host/prefix", followed by "!" if the call runs at most once, or "none".
  std::string route(const std::string &Host, const std::string &Method, const std::string &Target) {
    const auto Match = Index.findRoute(Host, Method, Target);
    if (!Match)
      return "none";
    return Match->Service->Name.str() + " " + Match->Route->Host + Match->Route->PathPrefix +
           (Match->Idempotent ? "" : "!");
  }
};

TEST_F(path_lookup, MatchesTheLongestPrefixOfWholeSegments) {
  EXPECT_EQ(route("any", "GET", "/portal"), "portal /portal");
  EXPECT_EQ(route("any", "GET", "/portal/a?b=/portal/send"), "portal /portal");
  EXPECT_EQ(route("any", "GET", "/portals"), "none");
  EXPECT_EQ(route("any", "GET", "*"), "none");
  EXPECT_EQ(route("any", "POST", "/portal/sender"), "portal /portal");
}

TEST_F(path_lookup, PrefersRoutesOfTheHost) {
  EXPECT_EQ(route("CLIPS.example:8080", "GET", "/portal/x"), "portal clips.example/");
  EXPECT_EQ(route("clips.example.", "GET", "/"), "portal clips.example/");
  EXPECT_EQ(route("[::1]:80", "GET", "/portal"), "portal /portal");
}

// A caller sends a newsletter with an unusual spelling of the path. If that spelling matched the
// idempotent route, a lost answer would be retried although the backend server reads the path as
// the send route, and every subscriber would get the newsletter twice.
TEST_F(path_lookup, MatchesTheNonIdempotentRouteInEverySpelling) {
  for (const char *Target :
       {"/portal/send", "/portal/send/", "/portal//send", "/portal/./send", "/portal/x/../send",
        "/portal/%73end", "/portal/%2e%2E/portal/send?x=1", "/portal/send;v=1", "/portal/send/7"})
    EXPECT_EQ(route("any", "POST", Target), "portal /portal/send!") << Target;
  EXPECT_EQ(route("any", "post", "/portal/send"), "portal /portal/send!");
  EXPECT_EQ(route("any", "GET", "/portal/send"), "portal /portal");
}

TEST_F(path_lookup, RejectsPathsWithHiddenSegments) {
  for (const char *Target : {"/portal/a%2Fsend", "/portal/a%5csend", "/portal/a\\send",
                             "/../portal", "/portal/../../portal", "/portal/%zz", "/portal/%7",
                             "/portal/%00", "portal", "", "http://any/portal"})
    EXPECT_EQ(route("any", "POST", Target), "none") << Target;
  EXPECT_EQ(normalisePath("/a/%252e%252e"), "/a/%2e%2e") << "decoded once only";
}

class selector_lookup : public request_lookup {
protected:
  selector_input Input{service_name("llm"),
                       model_name("tactic"),
                       client_account_name("club-a"),
                       {{"X-CANARY", "yes"}},
                       tokens(500)};

  selector_name selectedName() {
    const selector_declaration *Selector = Index.select(Input);
    const selection Selection = select(Index.declaration(), Input);
    EXPECT_EQ(Selector ? Selector->Name : selector_name(), Selection.Selector);
    return Selection.Selector;
  }

  std::string reason() {
    const selection Selection = select(Index.declaration(), Input);
    if (Selection.Mismatches.size() != 1)
      return "not one miss";
    return explainMismatch(Selection.Mismatches[0], Index.declaration().Selectors[0], Input);
  }
};

TEST_F(selector_lookup, UsesTheFirstMatchingSelector) {
  EXPECT_EQ(selectedName(), selector_name("try-canary"));
  EXPECT_EQ(select(Index.declaration(), Input).Groups.size(), 2U);
}

TEST_F(selector_lookup, ExplainsTheConditionThatDidNotHold) {
  const selector_input Matching = Input;
  Input.Prompt = tokens(1000);
  EXPECT_EQ(selectedName(), selector_name("rest"));
  EXPECT_EQ(reason(), "the prompt has 1000 tokens; accepted: below 1000");
  Input.Prompt = tokens(9);
  EXPECT_EQ(reason(), "the prompt has 9 tokens; accepted: from 10");
  Input = Matching;
  Input.Account = client_account_name("club-b");
  EXPECT_EQ(reason(), "the account is \"club-b\"; accepted: club-a");
  Input = Matching;
  Input.Headers = {{"x-canary", "YES"}};
  EXPECT_EQ(reason(), "header x-canary is absent or has another value");
}

TEST_F(selector_lookup, FindsNoSelectorForAnUnknownService) {
  Input.Service = service_name("other");
  EXPECT_EQ(selectedName(), selector_name());
}

TEST_F(selector_lookup, MatchesServersByAllLabelsOfAGroup) {
  EXPECT_TRUE(hasAllLabels({{"a", "1"}, {"b", "2"}}, {{"a", "1"}}));
  EXPECT_TRUE(hasAllLabels({}, {}));
  EXPECT_FALSE(hasAllLabels({{"a", "1"}}, {{"a", "1"}, {"b", "2"}}));
  EXPECT_FALSE(hasAllLabels({{"a", "2"}}, {{"a", "1"}}));
}

} // namespace
} // namespace pollenstall
