/** @file declaration_parse_test.cpp Tests parsing and errors of declaration files. */
#include "declaration/declaration_sample.h"

#include <gmock/gmock.h>

namespace pollenstall {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;
using testing::SizeIs;

/// A replacement that makes the sample invalid, with the expected error.
struct refusal_case {
  std::string From;
  std::string To;
  std::string Key;
  std::string Allowed;
  int Line{0};
};

void expectRefused(const refusal_case &Case) {
  const auto Errors = refused(sampleWith(Case.From, Case.To));
  ASSERT_THAT(Errors, SizeIs(1)) << toText(Errors);
  EXPECT_EQ(Errors[0].File, "sample.toml");
  EXPECT_EQ(Errors[0].Key, Case.Key);
  EXPECT_EQ(Errors[0].Line, Case.Line) << Case.Key;
  EXPECT_THAT(Errors[0].Allowed, HasSubstr(Case.Allowed));
}

class declaration_file : public testing::Test {};

class valid_file : public declaration_file {};

TEST_F(valid_file, GivesTheDeclaredValues) {
  const fleet_declaration Fleet = parsed(SampleText);
  ASSERT_THAT(Fleet.Selectors, SizeIs(3));
  const selector_declaration &Canary = Fleet.Selectors[0];
  EXPECT_EQ(Canary.Headers, (std::vector<header_match>{{"x-canary", "yes"}}));
  EXPECT_EQ(Canary.PromptBelow, tokens(1000));
  EXPECT_EQ(Canary.Groups,
            (std::vector<group_share>{{group_name("canary"), 3}, {group_name("stable"), 1}}));
  EXPECT_EQ(Fleet.Accounts[1].Share, 2U);
  EXPECT_EQ(Fleet.Services[0].Models, std::vector<model_name>{model_name("tactic")});
  EXPECT_EQ(Fleet.Services[1].Routes.back().Host, "clips.example");
}

TEST_F(valid_file, PlacesCopiesOfAModel) {
  const std::string WithPlacements = SampleText + R"([[placement]]
name = "tactic-2"
service = "llm"
group = "canary"
model = "tactic"
version = "2"
copies = 3
spread = "none"

[[placement]]
name = "tactic-1"
service = "llm"
group = "stable"
model = "tactic"
)";
  const fleet_declaration Fleet = parsed(WithPlacements);
  ASSERT_THAT(Fleet.Placements, SizeIs(2));
  EXPECT_EQ(
      Fleet.Placements[0],
      (placement_declaration{placement_name("tactic-1"), service_name("llm"), group_name("stable"),
                             model_name("tactic"), "", 1, placement_spread::Domains}));
  EXPECT_EQ(Fleet.Placements[1].Version, "2");
  EXPECT_EQ(Fleet.Placements[1].Copies, 3U);
  EXPECT_EQ(Fleet.Placements[1].Spread, placement_spread::None);
}

TEST_F(valid_file, GivesNoWarning) { EXPECT_THAT(findWarnings(parsed(SampleText)), IsEmpty()); }

TEST_F(valid_file, ComparesEqualInAnyOrderOfUnorderedItems) {
  const std::string Moved = sampleWith("[[group]]\nname = \"stable\"\nservice = \"llm\"\n"
                                       "labels = { version = \"1\" }\n",
                                       "") +
                            "[[group]]\nname = \"stable\"\nservice = \"llm\"\n"
                            "labels = { version = \"1\" }\n";
  EXPECT_EQ(parsed(Moved), parsed(SampleText));
}

TEST_F(valid_file, MayBeEmptyButWarns) {
  EXPECT_EQ(parsed(""), fleet_declaration());
  EXPECT_THAT(findWarnings({}), SizeIs(1));
}

struct cold_service : valid_file {
  static std::string with(const std::string &Keys) {
    return sampleWith("models = [\"tactic\"]", "models = [\"tactic\"]\n" + Keys);
  }
};

TEST_F(cold_service, IsReadAndWrittenBack) {
  const fleet_declaration Fleet = parsed(with("cold_per_s = 17.5\ncold_start_s = 8"));
  EXPECT_EQ(Fleet.Services[0].ColdPerSecond, 17.5);
  EXPECT_EQ(Fleet.Services[0].ColdStart.count(), 8'000);
  EXPECT_EQ(parsed(toCanonicalText(Fleet)).Services, Fleet.Services);
  EXPECT_EQ(toCanonicalText(parsed(SampleText)).find("cold"), std::string::npos);
}

TEST_F(cold_service, RefusesOtherTypesAndValues) {
  for (const char *Bad :
       {"cold_per_s = -1", "cold_per_s = 1_000_001", "cold_per_s = \"17\"", "cold_per_s = nan",
        "cold_per_s = inf", "cold_start_s = -0.5", "cold_start_s = 601", "cold_start_s = true"})
    EXPECT_THAT(refused(with(Bad)), SizeIs(1)) << Bad;
}

class file_with_an_invalid_key : public declaration_file {};

TEST_F(file_with_an_invalid_key, ReportsKeyLineAndAllowedValues) {
  const std::vector<refusal_case> Cases = {
      {"kind = \"model\"", "kind = \"modle\"", "service[0].kind", "\"model\" or \"plain\"", 3},
      {"kind = \"model\"", "kind = 3", "service[0].kind", "\"model\" or \"plain\"", 3},
      {"name = \"llm\"", "name = \"l l m\"", "service[0].name", "letters", 2},
      {"models = [\"tactic\"]", "models = [\"tactic\"]\nmax_prompt_tokens = 0",
       "service[0].max_prompt_tokens", "from 1 to", 5},
      {"models = [\"tactic\"]", "models = [\"tactic\"]\nmax_prompt_tokens = 1.5",
       "service[0].max_prompt_tokens", "a whole number", 5},
      {"models = [\"tactic\"]", "models = [\"tactic\"]\nmax_prompt = 5", "service[0].max_prompt",
       "max_prompt_tokens", 5},
      {"models = [\"tactic\"]", "models = [7]", "service[0].models[0]", "visible", 4},
      {"models = [\"tactic\"]", "", "service[0].models", "required", 1},
      {"models = [\"tactic\"]", "models = []", "service[0].models", "at least one model", 4},
      {"path_prefix = \"/portal\"", "path_prefix = \"portal\"", "service[1].routes[0].path_prefix",
       "absolute", 10},
      {"path_prefix = \"/portal\"", "path_prefix = \"/a/../b\"", "service[1].routes[0].path_prefix",
       "absolute", 10},
      {"idempotent = false", "idempotent = \"no\"", "service[1].routes[1].idempotent",
       "true or false", 11},
      {"labels = { version = \"1\" }", "labels = { version = 1 }", "group[0].labels.version",
       "visible", 18},
      {"weight = 3", "weight = -1", "selector[0].groups[0].weight", "from 0", 36},
      {"value = \"yes\"", "valu = \"yes\", value = \"yes\"", "selector[0].headers[0].valu",
       "name, value", 33},
      {SampleHashA, "abc", "account[0].key_hashes[0]", "SHA-256", 50},
      {"share = 2", "share = 2\n[policy]\nshort_weight = nan", "policy.short_weight", "a number",
       57},
      {"share = 2", "share = 2\n[limits]\nretry_percent = 101", "limits.retry_percent",
       "from 0 to 100", 57},
      {"share = 2", "share = 2\n[polcy]\nshort_weight = 1", "polcy", "policy, limits", 56},
      {"share = 2", "share = 2026-01-01", "account[1].share", "a whole number", 55},
  };
  for (const refusal_case &Case : Cases)
    expectRefused(Case);
}

TEST_F(file_with_an_invalid_key, ReportsEveryInvalidKeyAtOnce) {
  const auto Errors = refused("[[service]]\nkind = \"model\"\nmodels = \"x\"\nextra = 1\n");
  EXPECT_THAT(Errors, SizeIs(3)) << toText(Errors);
}

TEST_F(file_with_an_invalid_key, RejectsInvalidToml) {
  const auto Errors = refused("[[service]\nname = \n");
  ASSERT_THAT(Errors, SizeIs(1));
  EXPECT_EQ(Errors[0].Line, 1);
  EXPECT_THAT(Errors[0].Allowed, HasSubstr("valid TOML"));
  EXPECT_THAT(refused(std::string("a = \"\xff\"")), SizeIs(1));
  EXPECT_THAT(refused(std::string(5U << 20U, '#')), SizeIs(1));
}

class inconsistent_file : public declaration_file {};

TEST_F(inconsistent_file, ReportsTheReferenceOrTheDuplicate) {
  const std::vector<refusal_case> Cases = {
      {"accounts = [\"club-a\"]", "accounts = [\"club-z\"]", "selector[0].accounts[0]",
       "club-a, club-b", 32},
      {"name = \"canary\"\nservice = \"llm\"", "name = \"canary\"\nservice = \"lm\"",
       "group[1].service", "llm, portal", 22},
      {"{ group = \"stable\" }]\n\n[[selector]]\nname = \"rest\"",
       "{ group = \"portal-all\" }]\n\n[[selector]]\nname = \"rest\"",
       "selector[0].groups[1].group", "group of service llm", 36},
      {"{ group = \"stable\" }]", "{ group = \"canary\" }]", "selector[0].groups[1].group",
       "each group once", 36},
      {"[{ group = \"portal-all\" }]", "[{ group = \"portal-all\", weight = 0 }]",
       "selector[2].groups", "weight above 0", 46},
      {"prompt_below_tokens = 1000", "prompt_below_tokens = 10", "selector[0].prompt_below_tokens",
       "more than prompt_from_tokens", 35},
      {"accounts = [\"club-a\"]", "models = [\"other\"]", "selector[0].models[0]",
       "a model of service llm", 32},
      {"{ name = \"X-Canary\", value = \"yes\" }",
       "{ name = \"X-Canary\", value = \"yes\" }, { name = \"x-canary\", value = \"no\" }",
       "selector[0].headers[1].name", "each header once", 33},
      {SampleHashB, SampleHashA, "account[1].key_hashes[0]", "account club-a has it", 54},
      {"name = \"club-b\"", "name = \"club-a\"", "account[1].name", "club-a is taken", 53},
      {"name = \"rest\"", "name = \"try-canary\"", "selector[1].name", "is taken", 39},
      {"{ host = \"Clips.Example\", path_prefix = \"/\" }", "{ path_prefix = \"/portal/\" }",
       "service[1].routes[2]", "one route for each", 12},
      {"models = [\"tactic\"]", "models = [\"tactic\"]\nmax_timeout_ms = 5",
       "service[0].default_timeout_ms", "at most max_timeout_ms", 1},
      {"share = 2", "share = 2\n[policy]\nshort_below_tokens = 200_000",
       "policy.short_below_tokens", "at most long_from_tokens", 57},
  };
  for (const refusal_case &Case : Cases)
    expectRefused(Case);
}

TEST_F(inconsistent_file, RejectsAModelOfTwoServices) {
  const auto Errors = refused(SampleText + "[[service]]\nname = \"b\"\nkind = \"model\"\n"
                                           "models = [\"tactic\"]\n[[group]]\nname = \"g\"\n"
                                           "service = \"b\"\n[[selector]]\nname = \"s\"\n"
                                           "service = \"b\"\ngroups = [{ group = \"g\" }]\n");
  ASSERT_THAT(Errors, SizeIs(1));
  EXPECT_EQ(Errors[0].Key, "service[2].models[0]");
}

TEST_F(inconsistent_file, RejectsInvalidPlacements) {
  const std::string ValidPlacement =
      "[[placement]]\nname = \"p\"\nservice = \"llm\"\ngroup = \"stable\"\n"
      "model = \"tactic\"\n";
  const auto KeyOf = [&](const std::string &Text) { return refused(SampleText + Text)[0].Key; };
  const auto With = [&](const std::string &From, const std::string &To) {
    std::string Text = ValidPlacement;
    return Text.replace(Text.find(From), From.size(), To);
  };
  EXPECT_EQ(KeyOf(With("\"stable\"", "\"portal-all\"")), "placement[0].group");
  EXPECT_EQ(KeyOf(With("\"llm\"", "\"lm\"")), "placement[0].service");
  EXPECT_EQ(KeyOf(With("\"tactic\"", "\"other\"")), "placement[0].model");
  EXPECT_EQ(KeyOf(ValidPlacement + "copies = 10_001\n"), "placement[0].copies");
  EXPECT_EQ(KeyOf(ValidPlacement + "spread = \"hosts\"\n"), "placement[0].spread");
  EXPECT_EQ(KeyOf(ValidPlacement + ValidPlacement), "placement[1].name");
  EXPECT_EQ(KeyOf(ValidPlacement + With("\"p\"", "\"q\"")), "placement[1].model");
}

TEST_F(inconsistent_file, RejectsAServiceWhoseLastSelectorHasConditions) {
  const auto Errors = refused(sampleWith("name = \"rest\"\nservice = \"llm\"\n",
                                         "name = \"rest\"\nservice = \"llm\"\n"
                                         "prompt_from_tokens = 1\n"));
  ASSERT_THAT(Errors, SizeIs(1));
  EXPECT_EQ(Errors[0].Key, "service[0]");
  EXPECT_THAT(Errors[0].Allowed, HasSubstr("selector rest of service llm has some"));
  const auto None = refused("[[service]]\nname = \"a\"\nkind = \"model\"\nmodels = [\"m\"]\n");
  EXPECT_THAT(None[0].Allowed, HasSubstr("has no selector"));
}

TEST_F(inconsistent_file, WarnsOfUnreachableItems) {
  const auto Warnings = findWarnings(
      parsed(sampleWith("[[selector]]\nname = \"rest\"",
                        "[[selector]]\nname = \"hidden\"\nservice = \"llm\"\n"
                        "accounts = [\"club-a\"]\nprompt_from_tokens = 20\n"
                        "headers = [{ name = \"x-canary\", value = \"yes\" }]\n"
                        "prompt_below_tokens = 30\ngroups = [{ group = \"stable\" }]\n\n"
                        "[[group]]\nname = \"spare\"\nservice = \"llm\"\n\n"
                        "[[selector]]\nname = \"rest\"")));
  ASSERT_THAT(Warnings, SizeIs(2));
  EXPECT_EQ(Warnings[0].Item, "selector hidden");
  EXPECT_THAT(Warnings[0].Message, HasSubstr("selector try-canary before it"));
  EXPECT_EQ(Warnings[1].Item, "group spare");
}

} // namespace
} // namespace pollenstall
