/** @file idle_connections_test.cpp The entries' shares of a server's connections. */
#include "placer_fixture.h"

namespace pollenstall {
namespace {

// Guards against entries that each keep idle connections as if they were alone: together they would
// take all connections that the server accepts.
TEST_F(placer_fixture, IdleConnectionsOfAllEntriesLeaveHalfOfThoseThatAServerAccepts) {
  constexpr std::uint32_t Accepted = 434;
  fleet_declaration Fleet = declaration();
  Fleet.Services[0].ConnectionLimit = Accepted;
  Placer.applyDeclaration(Fleet);
  for (const std::size_t Entries : {3, 7, 58, 195}) {
    load_exchange_properties Exchange;
    Exchange.Entries = Entries;
    Placer.updateExchange(Exchange);
    const std::size_t Kept = Placer.maxIdleConnections(makeListing(0).Key);
    EXPECT_GE(Kept, 1U);
    EXPECT_LE(Kept * Entries, Accepted / 2) << Entries;
  }
}

TEST_F(placer_fixture, ServerWithoutADeclaredLimitKeepsTheDefault) {
  EXPECT_EQ(Placer.maxIdleConnections(makeListing(0).Key), DefaultMaxIdleConnections);
}

} // namespace
} // namespace pollenstall
