/** @file data_folder_test.cpp What a data folder holds after it was closed, cut, flipped or filled.
 */
#include "storage/scratch_folder_base.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

constexpr std::uint64_t RecordMiddle = 46; ///< In the payload of a first record.

class DataFolderTest : public testing::Test {
protected:
  [[nodiscard]] std::vector<log_entry> readEntries() const {
    return Scratch.open()->restored().Entries;
  }
  template <typename Error> Error refusal() const {
    const auto Opened = Scratch.tryOpen();
    EXPECT_FALSE(succeeded(Opened));
    EXPECT_TRUE(std::holds_alternative<Error>(errorOf(Opened))) << toText(errorOf(Opened));
    return std::get<Error>(errorOf(Opened));
  }

  scratch_folder Scratch;
};

class a_fresh_folder : public DataFolderTest {};

TEST_F(a_fresh_folder, TakesTheOfferedDiskAndKeepsIt) {
  EXPECT_EQ(Scratch.open()->identity().Key.Disk, disk_identity(9));
  Scratch.Options.NewDiskIdentity = disk_identity(10);
  EXPECT_EQ(Scratch.open()->identity().Key.Disk, disk_identity(9));
}

TEST_F(a_fresh_folder, IsRefusedToASecondProcess) {
  const auto Holder = Scratch.open();
  EXPECT_EQ(refusal<folder_in_use>().Folder, Scratch.Options.Folder);
}

// Two hosts' folders are mixed up at a repair. Under the other's promises a member could vote
// twice in a term, so the folder names whose it is and does not open.
TEST_F(a_fresh_folder, IsRefusedToAnotherMemberOrFleet) {
  Scratch.open();
  Scratch.Options.Member = member_id(2);
  EXPECT_EQ(refusal<foreign_folder>().Found.Key.Member, member_id(1));
  Scratch.Options.Member = member_id(1);
  Scratch.Options.Fleet = "sognebrev";
  EXPECT_EQ(refusal<foreign_folder>().Found.Fleet, "accra");
}

// An operator restores a backup without the identity. A new identity over an old log would let a
// disk that gave votes pass for one that never did.
TEST_F(a_fresh_folder, IsNotMadeAroundAnOldLog) {
  Scratch.writeOnce({writeOf(1, 1)});
  std::filesystem::remove(Scratch.Options.Folder / "identity");
  refusal<corrupt_file>();
}

class a_written_folder : public DataFolderTest {};

TEST_F(a_written_folder, GivesBackTermVoteAndEntries) {
  persist_log Write = writeOf(1, 3);
  Write.Hard = hard_state{term_number(4), {member_id(2), disk_identity(7)}};
  Scratch.writeOnce({Write, writeOf(4, 5)});
  const auto Folder = Scratch.open();
  EXPECT_EQ(Folder->restored().Hard, *Write.Hard);
  EXPECT_EQ(Folder->restored().Entries.size(), 5U);
  EXPECT_EQ(Folder->restored().Entries[4], entryAt(5));
  EXPECT_TRUE(Folder->repairs().empty());
}

TEST_F(a_written_folder, ForgetsWhatWasTruncatedOverSeveralSegments) {
  Scratch.Options.SegmentBytes = 100;
  persist_log Cut = writeOf(4, 4, 2);
  Cut.TruncateFrom = log_index(4);
  Scratch.writeOnce({writeOf(1, 9), Cut});
  const std::vector<log_entry> Entries = readEntries();
  ASSERT_EQ(Entries.size(), 4U);
  EXPECT_EQ(Entries[3], entryAt(4, 2));
}

TEST_F(a_written_folder, DropsSegmentsThatTheOlderSnapshotCovers) {
  Scratch.Options.SegmentBytes = 100;
  persist_log First;
  First.Snapshot = snapshotAt(6);
  First.CompactTo = log_index(6);
  persist_log Second;
  Second.Snapshot = snapshotAt(12);
  Second.CompactTo = log_index(12);
  Scratch.writeOnce({writeOf(1, 20), First, Second});
  const auto Folder = Scratch.open();
  EXPECT_EQ(Folder->restored().Snapshot->State, "state 12");
  EXPECT_GT(Folder->restored().Entries.front().Index, log_index(1));
  EXPECT_LE(Folder->restored().Entries.front().Index, log_index(7));
}

// The newest snapshot decays. The one before it and the log after that lead to the same state, so
// the member starts and says what it passed over.
TEST_F(a_written_folder, StartsFromTheOlderSnapshotWhereTheNewestIsDamaged) {
  persist_log First;
  First.Snapshot = snapshotAt(2);
  First.CompactTo = log_index(2);
  persist_log Second;
  Second.Snapshot = snapshotAt(4);
  Second.CompactTo = log_index(4);
  Scratch.writeOnce({writeOf(1, 6), First, Second});
  scratch_folder::flip(Scratch.Options.Folder / "snapshot-00000000000000000004", 30);
  const auto Folder = Scratch.open();
  EXPECT_EQ(Folder->restored().Snapshot->Index, log_index(2));
  EXPECT_EQ(Folder->restored().Entries.back().Index, log_index(6));
  EXPECT_EQ(Folder->repairs().size(), 1U);
}

// A snapshot is installed in place of a log that differs, and the process dies before the log's
// files are gone. At the start the old entries must not be taken for what follows the snapshot.
TEST_F(a_written_folder, DropsALogThatASnapshotHasReplaced) {
  Scratch.writeOnce({writeOf(1, 9)});
  const std::filesystem::path Old = Scratch.lastSegment();
  std::filesystem::copy_file(Old, Scratch.Path / "kept");
  persist_log Install;
  Install.Snapshot = snapshotAt(7, 3);
  Install.ResetLog = true;
  Scratch.writeOnce({Install});
  std::filesystem::copy_file(Scratch.Path / "kept", Old);
  EXPECT_TRUE(readEntries().empty());
  Scratch.writeOnce({writeOf(8, 8, 3)});
  EXPECT_EQ(readEntries(), (std::vector<log_entry>{entryAt(8, 3)}));
}

class a_crash : public DataFolderTest {};

// The power fails in the middle of a write that nobody was told of. The start cuts the torn record
// off, keeps all before it, and goes on writing there.
TEST_F(a_crash, LeavesATornTailThatIsCut) {
  Scratch.writeOnce({writeOf(1, 3)});
  const auto Size = std::filesystem::file_size(Scratch.lastSegment());
  std::filesystem::resize_file(Scratch.lastSegment(), Size - 1);
  {
    const auto Folder = Scratch.open();
    EXPECT_EQ(Folder->restored().Entries.size(), 2U);
    EXPECT_EQ(Folder->repairs().size(), 1U);
    ASSERT_TRUE(succeeded(Folder->write({writeOf(3, 4)})));
  }
  EXPECT_EQ(readEntries().size(), 4U);
}

// Sectors of one unsynced batch reach the disk out of order: a hole of zeros, then whole records.
// That is a torn tail as well, as the later records say that nothing here was synced.
TEST_F(a_crash, LeavesAHoleInAnUnsyncedBatchThatIsCut) {
  Scratch.writeOnce({writeOf(1, 1)});
  const auto Synced = std::filesystem::file_size(Scratch.lastSegment());
  Scratch.writeOnce({writeOf(2, 60)});
  {
    std::fstream File(Scratch.lastSegment(), std::ios::in | std::ios::out | std::ios::binary);
    File.seekp(512);
    File << std::string(512, '\0');
  }
  const auto Entries = readEntries();
  EXPECT_GE(Entries.size(), 1U);
  EXPECT_LT(Entries.size(), 60U);
  EXPECT_GE(std::filesystem::file_size(Scratch.lastSegment()), Synced);
}

class a_decayed_disk : public DataFolderTest {};

// A byte changes in an entry that was synced and acknowledged. Cutting the log there would take
// back committed entries without a word, so the folder does not open and says where.
TEST_F(a_decayed_disk, IsRefusedByNameInTheMiddle) {
  Scratch.writeOnce({writeOf(1, 3)});
  Scratch.writeOnce({writeOf(4, 5)});
  scratch_folder::flip(Scratch.lastSegment(), RecordMiddle);
  const corrupt_file Error = refusal<corrupt_file>();
  EXPECT_EQ(Error.Path, Scratch.lastSegment());
  EXPECT_EQ(Error.Offset, 0U);
}

// A sector of synced records reads as zeros, as a torn one would. A later record says that this
// part was synced before it was written itself.
TEST_F(a_decayed_disk, IsRefusedWhereASyncedSectorReadsAsZeros) {
  Scratch.writeOnce({writeOf(1, 60)});
  Scratch.writeOnce({writeOf(61, 61)});
  {
    std::fstream File(Scratch.lastSegment(), std::ios::in | std::ios::out | std::ios::binary);
    File.seekp(512);
    File << std::string(512, '\0');
  }
  refusal<corrupt_file>();
}

TEST_F(a_decayed_disk, IsRefusedByNameInTheLastRecordToo) {
  Scratch.writeOnce({writeOf(1, 3)});
  const auto Size = std::filesystem::file_size(Scratch.lastSegment());
  scratch_folder::flip(Scratch.lastSegment(), Size - 2);
  EXPECT_GT(refusal<corrupt_file>().Offset, 0U);
}

TEST_F(a_decayed_disk, IsRefusedWhereASegmentIsMissing) {
  Scratch.Options.SegmentBytes = 40;
  Scratch.writeOnce({writeOf(1, 3)});
  std::filesystem::remove(Scratch.Options.Folder / "log-00000000000000000002");
  refusal<corrupt_file>();
}

TEST_F(a_decayed_disk, IsRefusedWhereTermAndVoteAreDamaged) {
  Scratch.open();
  scratch_folder::flip(Scratch.Options.Folder / "meta", 3);
  EXPECT_EQ(refusal<corrupt_file>().Path, Scratch.Options.Folder / "meta");
}

class a_failing_disk : public DataFolderTest {
protected:
  file_faults Faults;
};

// The disk fills up in the middle of a batch. The writer is told so by name, nothing is confirmed,
// and after space was made everything that had been confirmed is there.
TEST_F(a_failing_disk, IsFullWithoutDamage) {
  {
    const auto Folder = Scratch.open(faultyFiles(Faults));
    ASSERT_TRUE(succeeded(Folder->write({writeOf(1, 3)})));
    Faults.BytesLeft = 70;
    const auto Written = Folder->write({writeOf(4, 6)});
    ASSERT_FALSE(succeeded(Written));
    EXPECT_TRUE(std::holds_alternative<disk_full>(errorOf(Written)));
  }
  EXPECT_EQ(readEntries().size(), 3U);
}

TEST_F(a_failing_disk, IsFullForTermAndVoteWithoutDamage) {
  persist_log Write;
  Write.Hard = hard_state{term_number(4), {}};
  Scratch.writeOnce({Write});
  {
    const auto Folder = Scratch.open(faultyFiles(Faults));
    Faults.BytesLeft = 5;
    Write.Hard->Term = term_number(5);
    EXPECT_FALSE(succeeded(Folder->write({Write})));
  }
  EXPECT_EQ(Scratch.open()->restored().Hard.Term, term_number(4));
}

// A sync fails once and would succeed when it is tried again, because the kernel has dropped the
// pages that it could not write. The second success would confirm what is not on the disk.
TEST_F(a_failing_disk, IsNotTrustedAfterAFailedSync) {
  const auto Folder = Scratch.open(faultyFiles(Faults));
  Faults.SyncFails = true;
  EXPECT_FALSE(succeeded(Folder->write({writeOf(1, 1)})));
  Faults.SyncFails = false;
  EXPECT_FALSE(succeeded(Folder->write({writeOf(2, 2)})));
}

/// Bytes that a property's next write adds or changes.
persist_log arbitraryWrite(std::uint64_t &Last, std::uint64_t &Term) {
  persist_log Write;
  if (Last > 0 && *rc::gen::inRange(0, 4) == 0) {
    ++Term;
    Write.TruncateFrom = log_index(*rc::gen::inRange<std::uint64_t>(1, Last + 1));
    Last = Write.TruncateFrom->value() - 1;
  }
  const auto Count = *rc::gen::inRange(0, 5);
  for (int Place = 0; Place < Count; ++Place)
    Write.Entries.push_back(entryAt(++Last, Term, *rc::gen::arbitrary<std::string>() + "."));
  return Write;
}

RC_GTEST_PROP(DataFolderProperty, KeepsWhatWasConfirmedWhereverTheTailIsTorn, ()) {
  scratch_folder Scratch;
  Scratch.Options.SegmentBytes = *rc::gen::inRange<std::uint64_t>(1, 600);
  std::vector<log_entry> Confirmed;
  std::uint64_t Last = 0;
  std::uint64_t Term = 1;
  const auto Batches = *rc::gen::inRange(1, 8);
  {
    const auto Folder = Scratch.open();
    for (int Batch = 0; Batch < Batches; ++Batch) {
      const persist_log Write = arbitraryWrite(Last, Term);
      if (Write.TruncateFrom)
        Confirmed.resize(Write.TruncateFrom->value() - 1);
      Confirmed.insert(Confirmed.end(), Write.Entries.begin(), Write.Entries.end());
      RC_ASSERT(succeeded(Folder->write({Write})));
    }
  }
  RC_ASSERT(Scratch.open()->restored().Entries == Confirmed);
  if (Confirmed.empty())
    return;
  const std::filesystem::path Tail = Scratch.lastSegment();
  const auto Synced = std::filesystem::file_size(Tail);
  const log_entry More = entryAt(Last + 1, Term, "not confirmed");
  Scratch.Options.SegmentBytes = 1U << 20U;
  Scratch.writeOnce({{{}, {}, {}, false, {}, {}, {More}}});
  const auto Whole = std::filesystem::file_size(Tail);
  std::filesystem::resize_file(Tail, *rc::gen::inRange(Synced, Whole));
  RC_ASSERT(Scratch.open()->restored().Entries == Confirmed);
}

} // namespace
} // namespace pollenstall
