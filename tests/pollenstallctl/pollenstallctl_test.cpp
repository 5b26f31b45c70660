/** @file pollenstallctl_test.cpp Runs the pollenstallctl binary against fake control hosts. */
#include "declaration/declaration.h"
#include "pollenstallctl/fake_control.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace pollenstall {
namespace {

namespace json = boost::json;
using testing::HasSubstr;
using testing::SizeIs;

const std::string Example = std::string(POLLENSTALL_SOURCE_DIR) + "/examples/accra.toml";
const std::string ClosedPort = "http://127.0.0.1:1";

/// Exit code and output of a run of the tool.
struct tool_run {
  int Exit{-1};
  std::string Out;
  std::string Err;
};

std::string fileText(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

class ctl_test : public testing::Test {
protected:
  std::string Folder = testing::TempDir() + "pollenstallctl." + std::to_string(getpid()) + ".";

  tool_run run(const std::string &Arguments) {
    const std::string ErrFile = Folder + "err";
    const std::string Command =
        std::string(POLLENSTALL_BIN_DIR) + "/pollenstallctl " + Arguments + " 2>" + ErrFile;
    tool_run Run;
    FILE *Pipe = popen(Command.c_str(), "r");
    std::array<char, 4096> Buffer{};
    for (std::size_t Got = 0; (Got = fread(Buffer.data(), 1, Buffer.size(), Pipe)) > 0;)
      Run.Out.append(Buffer.data(), Got);
    const int Status = pclose(Pipe);
    Run.Exit = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
    Run.Err = fileText(ErrFile);
    return Run;
  }

  std::string file(const std::string &Name, const std::string &Text) {
    std::ofstream(Folder + Name) << Text;
    return Folder + Name;
  }
};

class ctl_without_control : public ctl_test {};

TEST_F(ctl_without_control, PrintsHelpAndVersionAndRefusesBadUsage) {
  EXPECT_THAT(run("--help").Out, HasSubstr("Exit codes"));
  EXPECT_THAT(run("--version").Out, HasSubstr("pollenstallctl 0."));
  EXPECT_EQ(run("").Exit, 2);
  EXPECT_EQ(run("aply x").Exit, 2);
  EXPECT_EQ(run("validate").Exit, 2);
  EXPECT_EQ(run("status").Exit, 2) << "no --control";
  EXPECT_EQ(run("status --control ftp://127.0.0.1:1").Exit, 2);
  EXPECT_EQ(run("status --control http://127.0.0.1:1 --timeout x").Exit, 2);
  EXPECT_EQ(run("--bogus status").Exit, 2);
  EXPECT_EQ(run("validate /absent").Exit, 2);
}

TEST_F(ctl_without_control, ChecksItsSettings) {
  const std::string Good = file("good.toml", "control = [\"http://127.0.0.1:1\"]\n");
  EXPECT_EQ(run("--check --config " + Good).Exit, 0);
  const tool_run Bad = run("--check --config " + file("bad.toml", "\ncontroll = 1\n"));
  EXPECT_EQ(Bad.Exit, 2);
  EXPECT_THAT(Bad.Err, HasSubstr("bad.toml:2: controll: allowed: unknown key"));
}

TEST_F(ctl_without_control, ValidatesAFile) {
  EXPECT_THAT(run("validate " + Example).Out, HasSubstr("valid: 2 services"));
  const tool_run Bad = run("--json validate " + file("x.toml", "[[group]]\nname = 1\n"));
  EXPECT_EQ(Bad.Exit, 1);
  const json::value Error = json::parse(Bad.Out).at("error");
  EXPECT_EQ(Error.at("details").at(0).at("key"), "group[0].name");
  EXPECT_EQ(Error.at("details").at(0).at("line"), 2);
}

TEST_F(ctl_without_control, ExplainsARequestFromAFile) {
  const std::string Base = "explain --file " + Example + " --account tema-academy ";
  const tool_run Canary = run(Base + "--model tactic-llm --tokens 5 "
                                     "--header X-Pollenstall-Canary=2026-11 --json");
  EXPECT_EQ(Canary.Exit, 0);
  EXPECT_EQ(json::parse(Canary.Out).at("selector"), "asked-for-canary");
  const tool_run Long = run(Base + "--service tactic-llm --tokens 300000");
  EXPECT_THAT(Long.Out, HasSubstr("selector whole-matches matches"));
  EXPECT_THAT(Long.Out, HasSubstr("group tactic-stable: only when no other group has a server"));
  EXPECT_THAT(Long.Out, HasSubstr("selector asked-for-canary does not match: header"));
  EXPECT_EQ(run(Base + "--service tactic-llm --tokens 2000000").Exit, 1);
  EXPECT_EQ(run(Base + "--model other").Exit, 1);
  EXPECT_EQ(run("explain --file " + Example + " --account nobody --service clip-app").Exit, 1);
}

class ctl_with_control : public ctl_test {
protected:
  static fake_reply declared(std::uint64_t Revision, const std::string &Text) {
    return {200, {{"revision", Revision}, {"text", Text}}};
  }

  static fake_reply accepted(std::uint64_t Revision, bool Repeated) {
    return {200, {{"revision", Revision}, {"repeated", Repeated}}};
  }
};

TEST_F(ctl_with_control, PrintsTheBaseRevisionOfAPlan) {
  std::string Text = fileText(Example);
  const std::string Old = "short_weight = 3.0";
  Text.replace(Text.find(Old), Old.size(), "short_weight = 2.5");
  fake_control Control([&](const fake_request &) { return declared(7, Text); });
  const std::string Key = file("key", "secret\n");
  const tool_run Plan =
      run("plan " + Example + " --control " + Control.url() + " --key-file " + Key);
  EXPECT_EQ(Plan.Exit, 0);
  EXPECT_EQ(Plan.Out, "~ policy: short_weight 2.5 -> 3\n1 change; apply with "
                      "--base-revision 7\n");
  EXPECT_EQ(Control.requestsTo("/v1/declaration").at(0).Authorization, "Bearer secret");
}

// The leader accepts a change and fails before it responds. The tool must resend it with the same
// change id instead of reporting a failure or sending a new change. The response is then a repeat.
TEST_F(ctl_with_control, ResendsTheSameChangeAfterALostResponse) {
  int Sends = 0;
  fake_control Control([&](const fake_request &Request) -> std::optional<fake_reply> {
    if (Request.Path == "/v1/declaration")
      return declared(4, "");
    if (++Sends < 3)
      return std::nullopt;
    return accepted(5, true);
  });
  const tool_run Apply = run("apply " + Example + " --control " + Control.url());
  EXPECT_EQ(Apply.Exit, 0) << Apply.Err;
  EXPECT_THAT(Apply.Out, HasSubstr("accepted as revision 5, as answered before"));
  const auto Changes = Control.requestsTo("/v1/changes");
  ASSERT_THAT(Changes, SizeIs(3));
  EXPECT_EQ(Changes[0].Body, Changes[2].Body);
  EXPECT_EQ(Changes[0].Body.at("base_revision"), 4);
  const std::string Id(Changes[0].Body.at("change_id").as_string());
  EXPECT_THAT(Apply.Out, testing::StartsWith("change id " + Id + ", base revision 4\n"));
  const auto Sent = parseDeclaration(Changes[0].Body.at("text").as_string(), "sent");
  EXPECT_EQ(valueOf(Sent), valueOf(parseDeclaration(fileText(Example), "example")));
}

// One host receives the change and never responds; the last attempt then fails to connect to the
// other. The change may be in force: the tool must report an unknown outcome, with the change id
// and base revision that a resend needs, and not that nothing was sent.
TEST_F(ctl_with_control, ReportsAnUnknownOutcome) {
  fake_control Control([](const fake_request &) { return std::nullopt; });
  const std::string Ids = " --change-id mine --base-revision 2 --timeout 1";
  const tool_run Lost =
      run("apply " + Example + " --control " + Control.url() + "," + ClosedPort + Ids);
  EXPECT_EQ(Lost.Exit, 4);
  EXPECT_THAT(Lost.Err, HasSubstr("resend with --change-id mine --base-revision 2"));
}

TEST_F(ctl_with_control, ReportsAnUnknownOutcomeFromControl) {
  fake_control Control([](const fake_request &) {
    return fake_reply{503, {{"error", {{"code", "unknown_outcome"}, {"message", "again"}}}}};
  });
  EXPECT_EQ(run("drain 10.0.0.1:80 --timeout 1 --control " + Control.url()).Exit, 4);
}

TEST_F(ctl_with_control, ReportsThatNoHostIsReachable) {
  const std::string Ids = " --change-id mine --base-revision 2 --timeout 1";
  EXPECT_EQ(run("apply " + Example + " --control " + ClosedPort + Ids).Exit, 5);
  EXPECT_EQ(run("status --control " + ClosedPort).Exit, 5);
  fake_control Busy([](const fake_request &) {
    return fake_reply{503, {{"error", {{"code", "overloaded"}, {"message", "later"}}}}};
  });
  EXPECT_EQ(run("drain 10.0.0.1:80 --timeout 1 --control " + Busy.url()).Exit, 5);
}

// Two operators change the same revision and this change comes second. It must not be retried
// against the new revision, since that would undo the other change.
TEST_F(ctl_with_control, StopsAtAConflict) {
  fake_control Control([](const fake_request &) {
    return fake_reply{409,
                      {{"error", {{"code", "conflict"}, {"message", "another"}}}, {"revision", 9}}};
  });
  const tool_run Apply =
      run("apply " + Example + " --base-revision 8 --json --control " + Control.url());
  EXPECT_EQ(Apply.Exit, 3);
  EXPECT_EQ(json::parse(Apply.Out).at("error").at("details").at("revision"), 9);
  EXPECT_THAT(Control.requestsTo("/v1/changes"), SizeIs(1));
}

TEST_F(ctl_with_control, ReportsARefusalWithItsDetails) {
  fake_control Control([](const fake_request &) {
    return fake_reply{
        400,
        {{"error",
          {{"code", "invalid"},
           {"message", "not valid"},
           {"details", {{{"file", "f"}, {"line", 3}, {"key", "k"}, {"allowed", "a"}}}}}}}};
  });
  const tool_run Apply = run("apply " + Example + " --base-revision 8 --control " + Control.url());
  EXPECT_EQ(Apply.Exit, 1);
  EXPECT_THAT(Apply.Err, HasSubstr("f:3: k: allowed: a"));
}

TEST_F(ctl_with_control, ReportsAnIdThatWasUsedForAnotherChangeAsARefusal) {
  fake_control Control([](const fake_request &) {
    return fake_reply{409, {{"error", {{"code", "change_id_reused"}, {"message", "used"}}}}};
  });
  EXPECT_EQ(run("drain 10.0.0.1:80 --change-id x --control " + Control.url()).Exit, 1);
}

// Without a base revision, a resend would use the revision that the first attempt created, and so
// be a different change with the same id.
TEST_F(ctl_with_control, RequiresTheBaseRevisionWithAChangeId) {
  const tool_run Apply = run("apply " + Example + " --change-id mine --control " + ClosedPort);
  EXPECT_EQ(Apply.Exit, 2);
  EXPECT_THAT(Apply.Err, HasSubstr("--base-revision"));
}

TEST_F(ctl_with_control, FollowsARedirectToTheLeader) {
  fake_control Leader([](const fake_request &) { return accepted(3, false); });
  fake_control Follower([&](const fake_request &) {
    return fake_reply{421, {{"error", {{"code", "not_leader"}}}, {"leader", Leader.url()}}};
  });
  const tool_run Apply =
      run("apply " + Example + " --base-revision 2 --control " + ClosedPort + "," + Follower.url());
  EXPECT_EQ(Apply.Exit, 0) << Apply.Err;
  EXPECT_THAT(Leader.requestsTo("/v1/changes"), SizeIs(1));
}

// Two hosts redirect to each other. The tool follows a bounded number of redirects per round and
// then pauses; without that bound it would send thousands of requests a second to hosts in an
// election.
TEST_F(ctl_with_control, StopsAtARedirectLoop) {
  std::mutex Guard; // each host serves on its own thread, and Host starts before OtherHost
  std::string OtherUrl;
  fake_control Host([&](const fake_request &) {
    const std::lock_guard Lock(Guard);
    return fake_reply{421, {{"leader", OtherUrl}}};
  });
  fake_control OtherHost([&](const fake_request &) {
    return fake_reply{421, {{"leader", Host.url()}}};
  });
  {
    const std::lock_guard Lock(Guard);
    OtherUrl = OtherHost.url();
  }
  EXPECT_EQ(run("drain 10.0.0.1:80 --timeout 1 --control " + Host.url()).Exit, 5);
  constexpr std::size_t MaxRequestsInSixRounds = 54;
  EXPECT_LE(Host.requestsTo("/v1/drains").size() + OtherHost.requestsTo("/v1/drains").size(),
            MaxRequestsInSixRounds);
}

TEST_F(ctl_with_control, WaitsUntilTheChangeIsInForceEverywhere) {
  std::atomic<int> StatusRequests{0}; // incremented on the fake host's thread
  fake_control Control([&](const fake_request &Request) {
    if (Request.Path == "/v1/changes")
      return accepted(3, false);
    const json::value InForce = ++StatusRequests < 3 ? json::value(2) : json::value(3);
    return fake_reply{200, {{"serving", true}, {"in_force_revision", InForce}}};
  });
  const std::string Base = "apply " + Example + " --base-revision 2 --wait --control ";
  EXPECT_THAT(run(Base + Control.url()).Out, HasSubstr("in force everywhere"));
  EXPECT_EQ(StatusRequests, 3);
}

// An isolated host still reports its status, with a revision that may be stale. Only the revision
// in force that a serving leader reports counts.
TEST_F(ctl_with_control, IgnoresTheRevisionInForceOfAnIsolatedHost) {
  fake_control Control([](const fake_request &Request) {
    if (Request.Path == "/v1/changes")
      return accepted(3, false);
    return fake_reply{200, {{"serving", false}, {"in_force_revision", 3}, {"leader_url", nullptr}}};
  });
  const tool_run Apply =
      run("apply " + Example + " --base-revision 2 --wait --timeout 1 --control " + Control.url());
  EXPECT_EQ(Apply.Exit, 6);
  EXPECT_THAT(Apply.Err, HasSubstr("accepted as revision 3"));
}

TEST_F(ctl_with_control, PrintsStatusOfTheLeaderHistoryAndDump) {
  fake_control Leader([](const fake_request &Request) {
    if (Request.Path == "/v1/history")
      return fake_reply{
          200,
          {{"changes",
            {{{"revision", 1}, {"change_id", "x"}, {"time_unix_ms", 0}, {"summary", "s"}}}}}};
    if (Request.Path == "/dump")
      return fake_reply{200, {{"a", {{"b", 1}}}}};
    return fake_reply{
        200,
        {{"serving", true}, {"term", 4}, {"members", {{{"member", 11}, {"caught_up", true}}}}}};
  });
  fake_control Follower([&](const fake_request &) {
    return fake_reply{200, {{"serving", false}, {"leader_url", Leader.url()}}};
  });
  EXPECT_EQ(run("status --control " + Follower.url()).Out,
            "serving: true\nterm: 4\nmembers:\n  member  caught_up\n  11      true\n");
  EXPECT_THAT(run("history --control " + Leader.url()).Out, HasSubstr("1970-01-01 00:00:00Z"));
  EXPECT_EQ(run("dump --target " + Leader.url()).Out, "a:\n  b: 1\n");
}

TEST_F(ctl_with_control, SendsDrainsAndMembers) {
  fake_control Control([](const fake_request &) { return fake_reply{200, {{"version", 1}}}; });
  EXPECT_EQ(run("drain 10.0.0.1:80 --undo --control " + Control.url()).Exit, 0);
  const auto Drains = Control.requestsTo("/v1/drains");
  EXPECT_EQ(Drains.at(0).Body.at("backend"), "10.0.0.1:80");
  EXPECT_EQ(Drains.at(0).Body.at("undo"), true);
  EXPECT_EQ(run("member admit 3 --control " + Control.url()).Exit, 0);
  EXPECT_EQ(Control.requestsTo("/v1/members").at(0).Body.at("member"), 3);
  EXPECT_EQ(run("member dismiss 3 --control " + Control.url()).Exit, 2);
  EXPECT_EQ(run("drain backend-1 --control " + Control.url()).Exit, 2);
}

class ctl_evacuations : public ctl_test {
protected:
  /// @param Servers Backend servers that the control host lists in the domain.
  static fake_control::reply_function replies(int Servers) {
    return [Servers](const fake_request &Request) {
      if (Request.Method == "POST")
        return fake_reply{200, {{"done", true}}};
      return fake_reply{
          200,
          {{"version", 1},
           {"domains", {{{"domain", "zone-1"}, {"since_unix_ms", 0}, {"servers", Servers}}}},
           {"requests_left", 7},
           {"entries", 3},
           {"entries_unconfirmed", 1}}};
    };
  }
};

TEST_F(ctl_evacuations, SendsCommandsAndPrintsTheList) {
  fake_control Control(replies(2));
  const tool_run Evacuate = run("evacuate zone-1 --control " + Control.url());
  EXPECT_EQ(Evacuate.Exit, 0);
  EXPECT_EQ(Evacuate.Out, "accepted: zone-1 takes no new work\n");
  EXPECT_EQ(Evacuate.Err, "");
  EXPECT_EQ(run("restore zone-1 --control " + Control.url()).Exit, 0);
  const auto Sent = Control.requestsTo("/v1/evacuations");
  EXPECT_EQ(Sent.at(0).Body, (json::value{{"domain", "zone-1"}, {"undo", false}}));
  EXPECT_EQ(Sent.back().Body, (json::value{{"domain", "zone-1"}, {"undo", true}}));
  const std::string List = run("evacuations --control " + Control.url()).Out;
  EXPECT_THAT(List, HasSubstr("zone-1"));
  EXPECT_THAT(List, HasSubstr("1970-01-01 00:00:00Z"));
  EXPECT_THAT(List, HasSubstr("requests that still run there: 7"));
  EXPECT_THAT(List, HasSubstr("entries that have not confirmed: 1 of 3"));
}

// A mistyped name is accepted, since servers of the domain may announce themselves later.
TEST_F(ctl_evacuations, WarnsOfADomainWithoutServers) {
  fake_control Control(replies(0));
  const tool_run Evacuate = run("evacuate zone-1 --control " + Control.url());
  EXPECT_EQ(Evacuate.Exit, 0);
  EXPECT_THAT(Evacuate.Err, HasSubstr("no backend server in zone-1"));
}

TEST_F(ctl_evacuations, RefusesBadNamesAndReportsAnUnknownOutcome) {
  EXPECT_EQ(run("evacuate").Exit, 2);
  EXPECT_EQ(run("evacuate '' --control " + ClosedPort).Exit, 2);
  EXPECT_EQ(run("restore " + std::string(256, 'z') + " --control " + ClosedPort).Exit, 2);
  EXPECT_EQ(run("evacuate zone-1 --control " + ClosedPort + " --timeout 1").Exit, 5);
  fake_control Control([](const fake_request &) -> std::optional<fake_reply> {
    return fake_reply{503, {{"error", {{"code", "unknown_outcome"}, {"message", "m"}}}}};
  });
  const tool_run Unknown = run("evacuate zone-1 --timeout 1 --control " + Control.url());
  EXPECT_EQ(Unknown.Exit, 4);
  EXPECT_THAT(Unknown.Err, HasSubstr("resend with the same command"));
}

TEST_F(ctl_evacuations, SaysThatNoDomainIsOut) {
  fake_control Control([](const fake_request &) {
    return fake_reply{200, {{"version", 2}, {"domains", json::array()}}};
  });
  EXPECT_EQ(run("evacuations --control " + Control.url()).Out, "no failure domain is evacuated\n");
}

} // namespace
} // namespace pollenstall
