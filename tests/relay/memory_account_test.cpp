/** @file memory_account_test.cpp Sharing the memory for answers. */
#include "relay/memory_account_type.h"

#include "core/core.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace pollenstall {
namespace {

constexpr std::size_t Limit = 40'000'000;
constexpr std::size_t Piece = 16'000;

TEST(MemoryAccount, GivesOneAnswerAPartOfWhatIsFree) {
  memory_account Account(Limit);
  memory_share Share(Account);
  EXPECT_TRUE(Share.resize(Account.largestShare() / 2));
  EXPECT_FALSE(Share.resize(Limit));
  EXPECT_TRUE(Share.resize(0));
  EXPECT_EQ(Account.used(), 0U);
}

TEST(MemoryAccount, GivesNothingWithoutMemory) {
  memory_account Account(0);
  memory_share Share(Account);
  EXPECT_TRUE(Share.resize(0));
  EXPECT_FALSE(Share.resize(1));
}

TEST(MemoryAccount, TakesBackWhatAnEndedAnswerHeld) {
  memory_account Account(Limit);
  {
    memory_share Share(Account);
    Share.resize(Piece);
    EXPECT_EQ(Account.used(), Piece);
  }
  EXPECT_EQ(Account.used(), 0U);
}

/// Answers that grow by a piece at a time, in random order, until they may not.
class growing_answers {
public:
  growing_answers(memory_account &Account, std::size_t Count, std::uint64_t Seed)
      : Random(Seed), Sizes(Count) {
    for (std::size_t Answer = 0; Answer < Count; ++Answer)
      Shares.push_back(std::make_unique<memory_share>(Account));
  }

  void growOne() {
    const auto Answer = static_cast<std::size_t>(Random.below(Shares.size()));
    if (!Shares[Answer])
      return;
    Sizes[Answer] += Piece;
    if (!Shares[Answer]->resize(Sizes[Answer]))
      Shares[Answer].reset();
  }

private:
  random_source Random;
  std::vector<std::unique_ptr<memory_share>> Shares; ///< Null once the answer was ended.
  std::vector<std::size_t> Sizes;
};

// Many answers without end at once. However many there are, the memory is not used up, and an
// answer with a small part that waits is not the one that is ended.
TEST(MemoryAccount, LeavesRoomForSmallAnswersBesideManyWithoutEnd) {
  constexpr std::size_t SmallPart = 4'000;
  for (const std::size_t Count : {1U, 10U, 300U, 1'000U, 5'000U}) {
    memory_account Account(Limit);
    growing_answers Endless(Account, Count, Count);
    memory_share Small(Account);
    for (std::size_t Step = 0; Step < 100 * Count; ++Step) {
      Endless.growOne();
      ASSERT_LE(Account.used(), Limit) << Count << " answers";
      ASSERT_TRUE(Small.resize(Step % SmallPart)) << Count << " answers";
    }
  }
}

} // namespace
} // namespace pollenstall
