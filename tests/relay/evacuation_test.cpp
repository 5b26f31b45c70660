/** @file evacuation_test.cpp Requests that are under way when the failure domain of a server is
 * evacuated. */
#include "relay_harness_base.h"
#include "support/eventually_func.h"
#include "support/free_address_func.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace pollenstall {
namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok";
const std::string HoldConfirmedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const failure_domain_name DomainA("a");
const failure_domain_name DomainB("b");
constexpr tokens Amount{5'000};

bool isHold(const received_request &Request) {
  return Request.Head.find("/hold/") != std::string::npos;
}

/// Servers of domain "a", which is evacuated, and of domain "b".
struct evacuated_server : testing::Test {
  using domains = std::vector<failure_domain_name>;

  void SetUp() override {
    Table.setDomain(Server.key(), DomainA);
    Table.setDomain(Other.key(), DomainB);
  }
  void evacuate(const domains &Domains) {
    Table.update(Table.list().version().value_or(0) + 1, Domains);
    Relay.order(evacuations_update{std::make_shared<const server_evacuations>(Table)});
  }
  void expectNotSent() {
    EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
    Relay.settle();
    EXPECT_TRUE(Server.requests().empty());
  }
  start_attempt startAtOther() const {
    start_attempt Order;
    Order.Attempt = {{host_name("entry"), incarnation(1)}, Relay.Facts.Id, 1};
    Order.Backend = Other.key();
    Order.FirstByteBy = boot_clock::now() + std::chrono::seconds(10);
    return Order;
  }
  evacuations_in_use nextReport() {
    std::vector<evacuations_in_use> Received;
    EXPECT_TRUE(eventually([&] {
      Reports.drain([&](evacuations_in_use &&Report) { Received.push_back(Report); });
      return !Received.empty();
    }));
    return Received.empty() ? evacuations_in_use{} : Received.front();
  }

  server_evacuations Table;
  bounded_ring<evacuations_in_use> Reports{16};
  std::atomic<partition_effect> Effect{partition_effect::None};
  const scripted_server Server{[](auto &Socket, const received_request &Request) {
    sendText(Socket, isHold(Request) ? HoldConfirmedAnswer : Ok);
  }};
  const scripted_server Other{[](auto &Socket, const received_request &) { sendText(Socket, Ok); }};
  relay_harness Relay{retry_mode::Resume, {}, [this](relay_builder &Builder) {
                        Builder.evacuationReports(Reports);
                        Builder.simulatePartition([this] { return Effect.load(); });
                      }};
};

// Guards against requests that the decision thread had placed before it learnt of the evacuation.
TEST_F(evacuated_server, GetsNoRequestThatWasPlacedBefore) {
  evacuate({DomainA});
  Relay.call("p");
  Relay.start(Server);
  expectNotSent();
  Relay.start(Other, 2);
  Relay.next<attempt_completed>();
}

TEST_F(evacuated_server, GetsRequestsAgainAfterTheRestore) {
  evacuate({DomainA});
  evacuate({});
  Relay.call("p");
  Relay.start(Server);
  Relay.next<attempt_completed>();
}

// Guards against a prompt at a sound server that has parts prefilled by an evacuated one.
TEST_F(evacuated_server, IsNoHelper) {
  evacuate({DomainA});
  Relay.call("p");
  start_attempt Order = startAtOther();
  Order.Helpers = {Server.key()};
  Relay.order(std::move(Order));
  expectNotSent();
  EXPECT_TRUE(Other.requests().empty());
}

TEST_F(evacuated_server, IsNotAskedToHoldMemory) {
  evacuate({DomainA});
  Relay.call("p");
  Relay.start(Other, 1, true, {{Server.key(), Amount}});
  expectNotSent();
  EXPECT_TRUE(Other.requests().empty());
}

// The domain is evacuated because connections to it hang. The request must neither wait for the
// timeout nor be sent if the connection is made after all.
TEST_F(evacuated_server, GetsNoRequestThatWaitsForItsConnection) {
  Effect = partition_effect::Silence;
  Relay.call("p");
  Relay.start(Server);
  Relay.settle();
  const mono_time Evacuated = boot_clock::now();
  evacuate({DomainA});
  expectNotSent();
  EXPECT_LT(boot_clock::now() - Evacuated, std::chrono::milliseconds(500));
  Effect = partition_effect::None;
  Relay.start(Other, 2);
  Relay.next<attempt_completed>();
  EXPECT_TRUE(Server.requests().empty());
}

// The process was frozen, or cut off from the control hosts: a newer list may exist.
TEST_F(evacuated_server, GetsNoRequestAfterTheLeaseHasEnded) {
  evacuate({});
  Relay.call("p");
  Relay.order(declaration_in_force{nullptr, boot_clock::now()});
  Relay.start(Server);
  expectNotSent();
  Table.setDomain(Other.key(), failure_domain_name());
  evacuate({});
  Relay.start(Other, 2);
  Relay.next<attempt_completed>();
}

TEST_F(evacuated_server, IsReportedOnceTheListBindsThisThread) {
  evacuate({DomainA});
  EXPECT_EQ(nextReport(), (evacuations_in_use{1, 0}));
  evacuate({DomainA, DomainB});
  EXPECT_EQ(nextReport(), (evacuations_in_use{2, 0}));
}

/// A request that its server answers only when the test allows it.
struct request_running_in_an_evacuated_domain : evacuated_server {
  std::promise<void> Arrived;
  std::promise<void> MayAnswer;
  const scripted_server Slow{[this](auto &Socket, const received_request &) {
    Arrived.set_value();
    MayAnswer.get_future().wait();
    sendText(Socket, Ok);
  }};

  void startSlow(std::vector<memory_hold> Holds = {}) {
    Table.setDomain(Slow.key(), DomainA);
    Relay.call("p");
    Relay.start(Slow, 1, true, std::move(Holds));
    Arrived.get_future().wait();
  }
};

TEST_F(request_running_in_an_evacuated_domain, Finishes) {
  startSlow();
  evacuate({DomainA});
  EXPECT_EQ(nextReport(), (evacuations_in_use{1, 1}));
  MayAnswer.set_value();
  Relay.next<attempt_completed>();
  EXPECT_EQ(nextReport(), (evacuations_in_use{1, 0}));
}

// Guards against memory that is freed while the request needs it, or kept after its end.
TEST_F(request_running_in_an_evacuated_domain, KeepsItsMemoryUntilItsEnd) {
  startSlow({{Server.key(), Amount}});
  evacuate({DomainA});
  EXPECT_TRUE(eventually([this] { return Server.requests().size() >= 2; })) << "no renewal";
  for (const received_request &Request : Server.requests())
    EXPECT_TRUE(isHold(Request)) << Request.Head;
  MayAnswer.set_value();
  Relay.next<attempt_completed>();
  EXPECT_TRUE(eventually([this] { return !isHold(Server.requests().back()); })) << "no release";
}

// The holder is evacuated while it is asked: the request is not sent, and the memory is released.
TEST_F(request_running_in_an_evacuated_domain, IsNotSentIfItsHolderIsEvacuatedMeanwhile) {
  std::promise<void> Asked;
  std::promise<void> MayConfirm;
  const scripted_server Holder([&](auto &Socket, const received_request &Request) {
    if (isHold(Request)) {
      Asked.set_value();
      MayConfirm.get_future().wait();
    }
    sendText(Socket, HoldConfirmedAnswer);
  });
  Table.setDomain(Holder.key(), DomainA);
  Relay.call("p");
  Relay.start(Other, 1, true, {{Holder.key(), Amount}, {Server.key(), Amount}});
  Asked.get_future().wait();
  evacuate({DomainA});
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  MayConfirm.set_value();
  EXPECT_TRUE(eventually([&] { return Holder.requests().size() == 2; })) << "no release";
  EXPECT_FALSE(isHold(Holder.requests().back()));
  EXPECT_TRUE(Other.requests().empty());
  for (const received_request &Request : Server.requests())
    EXPECT_FALSE(isHold(Request)) << "the second holder is not asked";
}

/// An entry that is cut off from the servers, and the peer that carries its connections. Only the
/// peer knows the latest list.
struct evacuated_server_behind_a_peer : testing::Test {
  struct tunnel_entry {
    tunnel_entry(const std::string &Address, std::atomic<partition_effect> &Effect)
        : Relay(retry_mode::Always, {}, [&](relay_builder &Builder) {
            Builder.tunnels("fleet", {Address, DomainB});
            Builder.simulatePartition([&Effect] { return Effect.load(); });
          }) {
      Relay.listenForTunnels(Address);
    }
    relay_harness Relay;
  };

  void know(const scripted_server &Server) {
    for (tunnel_entry *Entry : {&First, &Second}) {
      tunnel_entries_update Peers;
      for (const std::string &Address : Addresses)
        Peers.Entries.push_back({Address, DomainB});
      path_servers_update Listed;
      Listed.Added.push_back({Server.key(), service_name("svc"), DomainA});
      Entry->Relay.order(std::move(Peers));
      Entry->Relay.order(std::move(Listed));
      Entry->Relay.settle();
    }
  }
  static void evacuate(relay_harness &Relay, const scripted_server &Server) {
    server_evacuations Table;
    Table.setDomain(Server.key(), DomainA);
    Table.update(1, {DomainA});
    Relay.order(evacuations_update{std::make_shared<const server_evacuations>(Table)});
    Relay.settle();
  }

  const std::vector<std::string> Addresses{freeTcpAddresses(2)};
  std::atomic<partition_effect> CutOff{partition_effect::Refusal};
  std::atomic<partition_effect> Connected{partition_effect::None};
  tunnel_entry First{Addresses[0], CutOff};
  tunnel_entry Second{Addresses[1], Connected};
};

TEST_F(evacuated_server_behind_a_peer, GetsNoConnectionThroughIt) {
  const scripted_server Server(
      [](auto &Socket, const received_request &) { sendText(Socket, Ok); });
  know(Server);
  evacuate(Second.Relay, Server);
  First.Relay.call("p");
  First.Relay.start(Server);
  EXPECT_EQ(First.Relay.next<attempt_failed>().Failure, attempt_failure::NotConnected);
  EXPECT_TRUE(Server.requests().empty());
}

// The path of a request that waits is checked every 0.4 s by another tunnel, which the peer
// refuses. The refusal must not count as a broken path.
TEST_F(evacuated_server_behind_a_peer, FinishesTheRequestsThatItCarries) {
  std::promise<void> Arrived;
  std::promise<void> MayAnswer;
  const scripted_server Server([&](auto &Socket, const received_request &) {
    Arrived.set_value();
    MayAnswer.get_future().wait();
    sendText(Socket, Ok);
  });
  know(Server);
  First.Relay.call("p");
  First.Relay.start(Server);
  Arrived.get_future().wait();
  evacuate(Second.Relay, Server);
  evacuate(First.Relay, Server);
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  MayAnswer.set_value();
  dispatch_event Event = First.Relay.next();
  for (; !std::holds_alternative<attempt_completed>(Event); Event = First.Relay.next()) {
    EXPECT_FALSE(std::holds_alternative<attempt_silent>(Event));
    ASSERT_FALSE(std::holds_alternative<attempt_failed>(Event));
  }
}

} // namespace
} // namespace pollenstall
