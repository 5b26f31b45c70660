/** @file order_executor_test.cpp Control hosts that order engines to load declared models. */
#include "control/control_cluster.h"

#include "gossip/gossip.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr int Ok = 200;

/// A host to which engines announce themselves; control hosts receive that by gossip.
class announcing_host {
public:
  announcing_host() {
    gossip_options Options;
    Options.Secret.Fleet = control_cluster::fleet();
    Options.Bind = peer_address("127.0.0.1:0");
    Options.Identity.Self = {host_name("entry-1"), incarnation(1)};
    Options.Identity.Domain = failure_domain_name("domain-1");
    Service = std::move(valueOf(gossip_service::create(std::move(Options))));
    Service->start();
  }

  [[nodiscard]] std::string address() const { return Service->address().str(); }

  void announce(const backend_process &Engine, order_check Orders) {
    received_announcement Heard;
    Heard.Announcement.Key = {backend_address(Engine.address()), incarnationOf(Engine)};
    Heard.Announcement.Service = service_name("llm");
    Heard.Announcement.Domain = failure_domain_name("domain-1");
    Heard.Announcement.Capabilities.Orders = Orders;
    Heard.Load.Sequence = ++Sequence;
    Service->announcements().push(std::move(Heard));
    Service->changes().drain([](membership_event && /*Event*/) {});
  }

private:
  static incarnation incarnationOf(const backend_process &Engine) {
    const auto State = objectIn(Engine.client().get("/v1/state"));
    return incarnation(State.at("incarnation").to_number<std::uint64_t>());
  }

  std::unique_ptr<gossip_service> Service;
  std::uint64_t Sequence{0};
};

std::string declarationWithVersion(const std::string &Version) {
  return "[[service]]\nname = \"llm\"\nkind = \"model\"\nmodels = [\"tactic\"]\n"
         "[[group]]\nname = \"all\"\nservice = \"llm\"\n"
         "[[selector]]\nname = \"rest\"\nservice = \"llm\"\ngroups = [{ group = \"all\" }]\n"
         "[[placement]]\nname = \"tactic\"\nservice = \"llm\"\ngroup = \"all\"\n"
         "model = \"tactic\"\nversion = \"" +
         Version + "\"\n";
}

/// One load every two seconds, so that a pending order can be observed.
const std::string SlowStore = "[orders]\nloads_at_once = 1\nloads_per_minute = 30\n";

class EngineOrdersTest : public testing::TestWithParam<order_check> {
protected:
  EngineOrdersTest()
      : Engine("[capabilities]\norders = \"" +
               std::string(GetParam() == order_check::Fenced ? "fenced" : "unfenced") + "\"\n"),
        Cluster(3, SlowStore + "[gossip]\nseeds = [\"" + Gossip.address() + "\"]\n",
                "gossip = \"127.0.0.1:0\"\n") {}

  bool waitFor(const std::function<bool()> &Condition) {
    return eventually([&] {
      Gossip.announce(Engine, GetParam());
      return Condition();
    });
  }

  /// @return Versions of the model that the engine has loaded.
  std::vector<std::string> versions() {
    std::vector<std::string> Found;
    const auto State = objectIn(Engine.client().get("/v1/state"));
    for (const auto &Model : State.at("models").as_array()) {
      const std::string Name(Model.as_string());
      if (Name.rfind("tactic@", 0) == 0)
        Found.push_back(Name.substr(Name.find('@') + 1));
    }
    return Found;
  }

  bool holdsOnly(const std::string &Version) {
    return waitFor([&] { return versions() == std::vector<std::string>{Version}; });
  }

  bool wasOrdered(const std::string &Version) {
    const auto Stats = Engine.stats();
    for (const auto &Order : Stats.at("orders").as_array())
      if (Order.at("version").as_string() == Version)
        return true;
    return false;
  }

  std::int64_t orders(std::size_t Host, const char *Key) {
    const auto Status = Cluster.status(Host);
    const auto *Orders = Status.if_contains("orders");
    return Orders == nullptr ? -1 : Orders->at(Key).to_number<std::int64_t>();
  }

  announcing_host Gossip;
  backend_process Engine;
  control_cluster Cluster;
};

TEST_P(EngineOrdersTest, LoadTheDeclaredVersion) {
  const std::size_t Leader = Cluster.waitForLeader();
  ASSERT_EQ(Cluster.change("one", 0, declarationWithVersion("1")).Status, Ok);
  ASSERT_TRUE(holdsOnly("1")) << Cluster.get(Leader, "/v1/status").Body;
  ASSERT_EQ(Cluster.change("two", 1, declarationWithVersion("2")).Status, Ok);
  ASSERT_TRUE(holdsOnly("2")) << Cluster.get(Leader, "/v1/status").Body;
  EXPECT_TRUE(
      waitFor([&] { return orders(Leader, "done") >= 3 && orders(Leader, "pending") == 0; }));
}

// The leader is stopped while an order for version 2 is pending. Another leader is elected and
// orders version 3. The first leader resumes with the order still planned and a lease that was
// valid when it last checked. If it sent the order, the engine would return to a replaced version.
TEST_P(EngineOrdersTest, KeepTheNewerVersionWhenAStoppedLeaderResumes) {
  const std::size_t Old = Cluster.waitForLeader();
  ASSERT_EQ(Cluster.change("one", 0, declarationWithVersion("1")).Status, Ok);
  ASSERT_TRUE(holdsOnly("1"));
  ASSERT_EQ(Cluster.change("two", 1, declarationWithVersion("2")).Status, Ok);
  ASSERT_TRUE(waitFor([&] { return orders(Old, "pending") == 1; }));
  Cluster.freeze(Old);
  ASSERT_FALSE(wasOrdered("2")) << "the order was to wait for the weight store";

  const std::size_t New = Cluster.waitForLeader(Old);
  ASSERT_EQ(
      Cluster.post(New, "/v1/changes", changeBody("three", 2, declarationWithVersion("3"))).Status,
      Ok);
  ASSERT_TRUE(holdsOnly("3"));
  Cluster.thaw(Old);
  ASSERT_TRUE(waitFor([&] {
    const auto Status = Cluster.status(Old);
    return Status.contains("revision") && Status.at("revision").to_number<int>() == 3 &&
           Status.at("orders").at("held").is_string();
  }));
  EXPECT_TRUE(holdsOnly("3"));
  EXPECT_FALSE(wasOrdered("2"));
}

INSTANTIATE_TEST_SUITE_P(Engines, EngineOrdersTest,
                         testing::Values(order_check::Fenced, order_check::Unfenced),
                         [](const auto &Info) {
                           return Info.param == order_check::Fenced ? "Fenced" : "Unfenced";
                         });

} // namespace
} // namespace pollenstall
