/** @file list_sender_test.cpp Parts of the list of backend servers. */
#include "list_sender_base.h"

#include "core/core.h"
#include "directory/directory.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

class ListSenderTest : public testing::Test {
protected:
  static constexpr std::size_t Count = 500;

  ListSenderTest() {
    for (std::size_t Index = 0; Index < Count; ++Index)
      add(Index);
  }

  void add(std::size_t Index) {
    backend_notice Notice;
    Notice.Instance = instance_name("i-" + std::to_string(1000 + Index));
    Notice.Address = backend_address("10.0.0.1:" + std::to_string(1000 + Index));
    Directory.handleNotice(Notice, Now);
  }

  void receive(connection_number To, const link_backends &Part) {
    std::set<instance_name> &Names = Received[To];
    if (Part.IsFullList) {
      EXPECT_TRUE(Names.empty()) << "only the first part replaces the list";
      if (!Part.Listings.empty())
        FirstNames.insert(Part.Listings.front().Instance);
    }
    for (const backend_listing &Listing : Part.Listings)
      EXPECT_TRUE(Names.insert(Listing.Instance).second) << Listing.Instance.str() << " twice";
  }

  void sendFor(mono_duration Span) {
    for (const mono_time End = Now + Span; Now < End; Now += 10ms)
      Sender.advance(Now);
  }

  mono_time Now{1h};
  backend_directory Directory{directory_options{}};
  std::map<connection_number, std::set<instance_name>> Received;
  std::set<instance_name> FirstNames;
  list_sender Sender{
      500e3, // bytes per second, nine complete lists
      {[this](const instance_name &After, std::size_t MaxCount) {
         return Directory.listingsAfter(After, MaxCount, mono_time());
       },
       [this](connection_number To, const link_backends &Part) { receive(To, Part); }}};
};

TEST_F(ListSenderTest, EachEntryGetsEveryListingOnce) {
  for (std::uint64_t Entry = 1; Entry <= 20; ++Entry)
    Sender.start(connection_number(Entry), Now);
  sendFor(5s);
  ASSERT_EQ(Received.size(), 20U);
  for (const auto &[Entry, Names] : Received)
    EXPECT_EQ(Names.size(), Count);
  EXPECT_GT(FirstNames.size(), 10U) << "entries begin at the same part of the list";
}

TEST_F(ListSenderTest, AllEntriesGetAFirstPartSoonAndTheRateIsKept) {
  for (std::uint64_t Entry = 1; Entry <= 20; ++Entry)
    Sender.start(connection_number(Entry), Now);
  sendFor(300ms);
  EXPECT_EQ(Received.size(), 20U);
  std::size_t Listings = 0;
  for (const auto &[Entry, Names] : Received)
    Listings += Names.size();
  EXPECT_LT(Listings * 100, 500e3 * 0.5);
}

// Guards against a list that ends early because backend servers come or go while it is sent.
TEST_F(ListSenderTest, IsCompleteThoughTheDirectoryChanges) {
  Sender.start(connection_number(1), Now);
  Sender.start(connection_number(2), Now);
  for (std::size_t Index = Count; Index < Count + 100; ++Index)
    add(Index);
  sendFor(2s);
  EXPECT_EQ(Received[connection_number(2)].size(), Count + 100);
}

TEST_F(ListSenderTest, AnEmptyListIsSentToo) {
  Directory.clear();
  Sender.start(connection_number(1), Now);
  sendFor(100ms);
  EXPECT_EQ(Received.count(connection_number(1)), 1U) << "the entry would stay unready";
}

} // namespace
} // namespace pollenstall
