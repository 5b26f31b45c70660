/** @file declaration_lookup_test.cpp Where a request goes: accounts, models, routes, selectors. */
#include "declaration/declaration_sample.h"

#include <gmock/gmock.h>

namespace pollenstall {
namespace {

using testing::ElementsAre;

class a_request : public testing::Test {
protected:
  declaration_index Index{parsed(SampleText)};
};

TEST_F(a_request, IsKnownByItsKeyAndModel) {
  EXPECT_EQ(Index.findAccount(SampleHashB)->Name, client_account_name("club-b"));
  EXPECT_EQ(Index.findAccount(std::string(64, 'c')), nullptr);
  EXPECT_EQ(Index.findAccountByName(client_account_name("club-a"))->MaxQueued, 256U);
  EXPECT_EQ(Index.findModel("tactic")->Name, service_name("llm"));
  EXPECT_EQ(Index.findModel("portal"), nullptr);
  EXPECT_EQ(Index.findGroup(group_name("canary"))->Labels.at("version"), "2");
  EXPECT_THAT(Index.selectorHeaders(), ElementsAre("x-canary"));
}

class a_request_by_path : public a_request {
protected:
  /// @return "service prefix", with "!" for a call that runs at most once, or "none".
  std::string route(const std::string &Host, const std::string &Method, const std::string &Target) {
    const auto Match = Index.findRoute(Host, Method, Target);
    if (!Match)
      return "none";
    return Match->Service->Name.str() + " " + Match->Route->Host + Match->Route->PathPrefix +
           (Match->Idempotent ? "" : "!");
  }
};

TEST_F(a_request_by_path, TakesTheLongestPrefixAtABorderOfSegments) {
  EXPECT_EQ(route("any", "GET", "/portal"), "portal /portal");
  EXPECT_EQ(route("any", "GET", "/portal/a?b=/portal/send"), "portal /portal");
  EXPECT_EQ(route("any", "GET", "/portals"), "none");
  EXPECT_EQ(route("any", "GET", "*"), "none");
  EXPECT_EQ(route("any", "POST", "/portal/sender"), "portal /portal");
}

TEST_F(a_request_by_path, TakesTheHostsOwnRoutesFirst) {
  EXPECT_EQ(route("CLIPS.example:8080", "GET", "/portal/x"), "portal clips.example/");
  EXPECT_EQ(route("clips.example.", "GET", "/"), "portal clips.example/");
  EXPECT_EQ(route("[::1]:80", "GET", "/portal"), "portal /portal");
}

// A caller sends the newsletter by an odd spelling of its path. If the spelling matched the
// idempotent route, a lost answer would be retried, while the backend server reads the same path as
// the send: every subscriber would get the letter twice.
TEST_F(a_request_by_path, FindsTheNonIdempotentRouteInEverySpelling) {
  for (const char *Target :
       {"/portal/send", "/portal/send/", "/portal//send", "/portal/./send", "/portal/x/../send",
        "/portal/%73end", "/portal/%2e%2E/portal/send?x=1", "/portal/send;v=1", "/portal/send/7"})
    EXPECT_EQ(route("any", "POST", Target), "portal /portal/send!") << Target;
  EXPECT_EQ(route("any", "post", "/portal/send"), "portal /portal/send!");
  EXPECT_EQ(route("any", "GET", "/portal/send"), "portal /portal");
}

TEST_F(a_request_by_path, MatchesNothingThatHidesItsSegments) {
  for (const char *Target : {"/portal/a%2Fsend", "/portal/a%5csend", "/portal/a\\send",
                             "/../portal", "/portal/../../portal", "/portal/%zz", "/portal/%7",
                             "/portal/%00", "portal", "", "http://any/portal"})
    EXPECT_EQ(route("any", "POST", Target), "none") << Target;
  EXPECT_EQ(normalisePath("/a/%252e%252e"), "/a/%2e%2e") << "decoded once only";
}

class a_request_at_the_selectors : public a_request {
protected:
  selector_input Input{service_name("llm"),
                       model_name("tactic"),
                       client_account_name("club-a"),
                       {{"X-CANARY", "yes"}},
                       tokens(500)};

  selector_name chosen() {
    const selector_declaration *Selector = Index.select(Input);
    const selection Selection = select(Index.declaration(), Input);
    EXPECT_EQ(Selector ? Selector->Name : selector_name(), Selection.Selector);
    return Selection.Selector;
  }

  std::string reason() {
    const selection Selection = select(Index.declaration(), Input);
    if (Selection.Misses.size() != 1)
      return "not one miss";
    return explainMiss(Selection.Misses[0], Index.declaration().Selectors[0], Input);
  }
};

TEST_F(a_request_at_the_selectors, GoesByTheFirstThatMatches) {
  EXPECT_EQ(chosen(), selector_name("try-canary"));
  EXPECT_EQ(select(Index.declaration(), Input).Groups.size(), 2U);
}

TEST_F(a_request_at_the_selectors, IsToldWhichConditionItMissed) {
  const selector_input Matching = Input;
  Input.Prompt = tokens(1000);
  EXPECT_EQ(chosen(), selector_name("rest"));
  EXPECT_EQ(reason(), "the prompt has 1000 tokens; taken: below 1000");
  Input.Prompt = tokens(9);
  EXPECT_EQ(reason(), "the prompt has 9 tokens; taken: from 10");
  Input = Matching;
  Input.Account = client_account_name("club-b");
  EXPECT_EQ(reason(), "the account is \"club-b\"; taken: club-a");
  Input = Matching;
  Input.Headers = {{"x-canary", "YES"}};
  EXPECT_EQ(reason(), "header x-canary is absent or has another value");
}

TEST_F(a_request_at_the_selectors, FindsNothingForAnUnknownService) {
  Input.Service = service_name("other");
  EXPECT_EQ(chosen(), selector_name());
}

TEST_F(a_request_at_the_selectors, MatchesServersByAllLabelsOfAGroup) {
  EXPECT_TRUE(carriesLabels({{"a", "1"}, {"b", "2"}}, {{"a", "1"}}));
  EXPECT_TRUE(carriesLabels({}, {}));
  EXPECT_FALSE(carriesLabels({{"a", "1"}}, {{"a", "1"}, {"b", "2"}}));
  EXPECT_FALSE(carriesLabels({{"a", "2"}}, {{"a", "1"}}));
}

} // namespace
} // namespace pollenstall
