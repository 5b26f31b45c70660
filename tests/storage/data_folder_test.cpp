/** @file data_folder_test.cpp Tests of data folders after crashes, corruption and disk failures. */
#include "storage/scratch_folder_base.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

constexpr std::uint64_t RecordMiddle = 46; ///< Offset in the payload of the first record.

class DataFolderTest : public testing::Test {
protected:
  [[nodiscard]] std::vector<log_entry> readEntries() const {
    return Scratch.open()->restored().Entries;
  }
  template <typename Error> Error openError() const {
    const auto Opened = Scratch.tryOpen();
    EXPECT_FALSE(succeeded(Opened));
    EXPECT_TRUE(std::holds_alternative<Error>(errorOf(Opened))) << toText(errorOf(Opened));
    return std::get<Error>(errorOf(Opened));
  }

  scratch_folder Scratch;
};

class a_new_folder : public DataFolderTest {};

TEST_F(a_new_folder, StoresTheGivenDiskIdentity) {
  EXPECT_EQ(Scratch.open()->identity().Key.Disk, disk_identity(9));
  Scratch.Options.NewDiskIdentity = disk_identity(10);
  EXPECT_EQ(Scratch.open()->identity().Key.Disk, disk_identity(9));
}

TEST_F(a_new_folder, CannotBeOpenedByASecondProcess) {
  const auto OtherProcess = Scratch.open();
  EXPECT_EQ(openError<folder_in_use>().Folder, Scratch.Options.Folder);
}

// The folders of two hosts are swapped by mistake during a repair. With the hard state of the
// other, a member could vote twice in a term, so the folder does not open and the error names its
// owner.
TEST_F(a_new_folder, CannotBeOpenedForAnotherMemberOrFleet) {
  Scratch.open();
  Scratch.Options.Member = member_id(2);
  EXPECT_EQ(openError<foreign_folder>().Found.Key.Member, member_id(1));
  Scratch.Options.Member = member_id(1);
  Scratch.Options.Fleet = "sognebrev";
  EXPECT_EQ(openError<foreign_folder>().Found.Fleet, "accra");
}

// An operator restores a backup without the identity file. With a new identity over an old log, a
// disk that has voted would be treated as one that never has.
TEST_F(a_new_folder, IsNotCreatedOverAnExistingLog) {
  Scratch.writeOnce({writeOf(1, 1)});
  std::filesystem::remove(Scratch.Options.Folder / "identity");
  openError<corrupt_file>();
}

class a_written_folder : public DataFolderTest {};

TEST_F(a_written_folder, RestoresTermVoteAndEntries) {
  persist_log Write = writeOf(1, 3);
  Write.Hard = hard_state{term_number(4), {member_id(2), disk_identity(7)}};
  Scratch.writeOnce({Write, writeOf(4, 5)});
  const auto Folder = Scratch.open();
  EXPECT_EQ(Folder->restored().Hard, *Write.Hard);
  EXPECT_EQ(Folder->restored().Entries.size(), 5U);
  EXPECT_EQ(Folder->restored().Entries[4], entryAt(5));
  EXPECT_TRUE(Folder->repairs().empty());
}

TEST_F(a_written_folder, RemovesEntriesTruncatedAcrossSeveralSegments) {
  Scratch.Options.SegmentBytes = 100;
  persist_log Truncation = writeOf(4, 4, 2);
  Truncation.TruncateFrom = log_index(4);
  Scratch.writeOnce({writeOf(1, 9), Truncation});
  const std::vector<log_entry> Entries = readEntries();
  ASSERT_EQ(Entries.size(), 4U);
  EXPECT_EQ(Entries[3], entryAt(4, 2));
}

TEST_F(a_written_folder, RemovesSegmentsCoveredByTheOlderSnapshot) {
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

// The newest snapshot is corrupt. The previous one and the log after it lead to the same state, so
// the folder opens and reports the skipped snapshot.
TEST_F(a_written_folder, OpensWithTheOlderSnapshotIfTheNewestIsCorrupt) {
  persist_log First;
  First.Snapshot = snapshotAt(2);
  First.CompactTo = log_index(2);
  persist_log Second;
  Second.Snapshot = snapshotAt(4);
  Second.CompactTo = log_index(4);
  Scratch.writeOnce({writeOf(1, 6), First, Second});
  scratch_folder::flipByte(Scratch.Options.Folder / "snapshot-00000000000000000004", 30);
  const auto Folder = Scratch.open();
  EXPECT_EQ(Folder->restored().Snapshot->Index, log_index(2));
  EXPECT_EQ(Folder->restored().Entries.back().Index, log_index(6));
  EXPECT_EQ(Folder->repairs().size(), 1U);
}

// A snapshot is installed in place of a log that differs, and the process crashes before the files
// of that log are removed. After a restart the old entries must not be used as the continuation of
// the snapshot.
TEST_F(a_written_folder, RemovesALogThatASnapshotHasReplaced) {
  Scratch.writeOnce({writeOf(1, 9)});
  const std::filesystem::path OldSegment = Scratch.lastSegment();
  std::filesystem::copy_file(OldSegment, Scratch.Path / "kept");
  persist_log InstalledSnapshot;
  InstalledSnapshot.Snapshot = snapshotAt(7, 3);
  InstalledSnapshot.ResetLog = true;
  Scratch.writeOnce({InstalledSnapshot});
  std::filesystem::copy_file(Scratch.Path / "kept", OldSegment);
  EXPECT_TRUE(readEntries().empty());
  Scratch.writeOnce({writeOf(8, 8, 3)});
  EXPECT_EQ(readEntries(), (std::vector<log_entry>{entryAt(8, 3)}));
}

class a_crash : public DataFolderTest {};

// The power fails during an unconfirmed write. Opening the folder truncates the torn record and
// keeps all records before it, and new records are appended there.
TEST_F(a_crash, LeavesATornTailThatIsTruncated) {
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

// Sectors of an unsynced batch reach the disk out of order: zeros, followed by valid records. That
// is a torn tail as well, because the later records show that this part was not synced.
TEST_F(a_crash, LeavesAHoleInAnUnsyncedBatchThatIsTruncated) {
  Scratch.writeOnce({writeOf(1, 1)});
  const auto SyncedSize = std::filesystem::file_size(Scratch.lastSegment());
  Scratch.writeOnce({writeOf(2, 60)});
  {
    std::fstream File(Scratch.lastSegment(), std::ios::in | std::ios::out | std::ios::binary);
    File.seekp(512);
    File << std::string(512, '\0');
  }
  const auto Entries = readEntries();
  EXPECT_GE(Entries.size(), 1U);
  EXPECT_LT(Entries.size(), 60U);
  EXPECT_GE(std::filesystem::file_size(Scratch.lastSegment()), SyncedSize);
}

class a_corrupt_folder : public DataFolderTest {};

// A byte changes in an entry that was synced and acknowledged. Truncating the log there would
// silently remove committed entries, so the folder does not open and the error names the file and
// offset.
TEST_F(a_corrupt_folder, IsRefusedIfARecordInTheMiddleIsCorrupt) {
  Scratch.writeOnce({writeOf(1, 3)});
  Scratch.writeOnce({writeOf(4, 5)});
  scratch_folder::flipByte(Scratch.lastSegment(), RecordMiddle);
  const corrupt_file Error = openError<corrupt_file>();
  EXPECT_EQ(Error.Path, Scratch.lastSegment());
  EXPECT_EQ(Error.Offset, 0U);
}

// A sector of synced records reads as zeros, like a torn one, but a later record shows that this
// part was synced.
TEST_F(a_corrupt_folder, IsRefusedIfASyncedSectorReadsAsZeros) {
  Scratch.writeOnce({writeOf(1, 60)});
  Scratch.writeOnce({writeOf(61, 61)});
  {
    std::fstream File(Scratch.lastSegment(), std::ios::in | std::ios::out | std::ios::binary);
    File.seekp(512);
    File << std::string(512, '\0');
  }
  openError<corrupt_file>();
}

TEST_F(a_corrupt_folder, IsRefusedIfTheLastRecordIsCorrupt) {
  Scratch.writeOnce({writeOf(1, 3)});
  const auto Size = std::filesystem::file_size(Scratch.lastSegment());
  scratch_folder::flipByte(Scratch.lastSegment(), Size - 2);
  EXPECT_GT(openError<corrupt_file>().Offset, 0U);
}

TEST_F(a_corrupt_folder, IsRefusedIfASegmentIsMissing) {
  Scratch.Options.SegmentBytes = 40;
  Scratch.writeOnce({writeOf(1, 3)});
  std::filesystem::remove(Scratch.Options.Folder / "log-00000000000000000002");
  openError<corrupt_file>();
}

TEST_F(a_corrupt_folder, IsRefusedIfTermAndVoteAreCorrupt) {
  Scratch.open();
  scratch_folder::flipByte(Scratch.Options.Folder / "meta", 3);
  EXPECT_EQ(openError<corrupt_file>().Path, Scratch.Options.Folder / "meta");
}

class a_failing_disk : public DataFolderTest {
protected:
  file_faults Faults;
};

// The disk becomes full during a batch. The write returns disk_full and is not confirmed, and all
// confirmed entries are still there when the folder is opened again.
TEST_F(a_failing_disk, DoesNotCorruptTheLogWhenFull) {
  {
    const auto Folder = Scratch.open(faultyFileSystem(Faults));
    ASSERT_TRUE(succeeded(Folder->write({writeOf(1, 3)})));
    Faults.BytesLeft = 70;
    const auto Written = Folder->write({writeOf(4, 6)});
    ASSERT_FALSE(succeeded(Written));
    EXPECT_TRUE(std::holds_alternative<disk_full>(errorOf(Written)));
  }
  EXPECT_EQ(readEntries().size(), 3U);
}

TEST_F(a_failing_disk, DoesNotCorruptTermAndVoteWhenFull) {
  persist_log Write;
  Write.Hard = hard_state{term_number(4), {}};
  Scratch.writeOnce({Write});
  {
    const auto Folder = Scratch.open(faultyFileSystem(Faults));
    Faults.BytesLeft = 5;
    Write.Hard->Term = term_number(5);
    EXPECT_FALSE(succeeded(Folder->write({Write})));
  }
  EXPECT_EQ(Scratch.open()->restored().Hard.Term, term_number(4));
}

// A sync fails once, and a retry would succeed because the kernel has dropped the pages that it
// could not write. Success of the retry would confirm data that is not on the disk.
TEST_F(a_failing_disk, ConfirmsNoWriteAfterAFailedSync) {
  const auto Folder = Scratch.open(faultyFileSystem(Faults));
  Faults.SyncFails = true;
  EXPECT_FALSE(succeeded(Folder->write({writeOf(1, 1)})));
  Faults.SyncFails = false;
  EXPECT_FALSE(succeeded(Folder->write({writeOf(2, 2)})));
}

/// Returns a random write that may truncate the log and appends up to four entries.
persist_log arbitraryWrite(std::uint64_t &Last, std::uint64_t &Term) {
  persist_log Write;
  if (Last > 0 && *rc::gen::inRange(0, 4) == 0) {
    ++Term;
    Write.TruncateFrom = log_index(*rc::gen::inRange<std::uint64_t>(1, Last + 1));
    Last = Write.TruncateFrom->value() - 1;
  }
  const auto Count = *rc::gen::inRange(0, 5);
  for (int EntryNumber = 0; EntryNumber < Count; ++EntryNumber)
    Write.Entries.push_back(entryAt(++Last, Term, *rc::gen::arbitrary<std::string>() + "."));
  return Write;
}

RC_GTEST_PROP(DataFolderProperty, KeepsConfirmedEntriesWhereverTheTailIsTorn, ()) {
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
  const std::filesystem::path LastSegment = Scratch.lastSegment();
  const auto SyncedSize = std::filesystem::file_size(LastSegment);
  const log_entry UnconfirmedEntry = entryAt(Last + 1, Term, "not confirmed");
  Scratch.Options.SegmentBytes = 1U << 20U;
  Scratch.writeOnce({{{}, {}, {}, false, {}, {}, {UnconfirmedEntry}}});
  const auto FullSize = std::filesystem::file_size(LastSegment);
  std::filesystem::resize_file(LastSegment, *rc::gen::inRange(SyncedSize, FullSize));
  RC_ASSERT(Scratch.open()->restored().Entries == Confirmed);
}

} // namespace
} // namespace pollenstall
