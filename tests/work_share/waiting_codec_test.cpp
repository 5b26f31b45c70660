/** @file waiting_codec_test.cpp Datagrams with counts of waiting requests. */
#include "work_share/permit_codec_func.h"
#include "work_share/retry_codec_func.h"
#include "work_share/waiting_codec_func.h"
#include "work_share/work_report_codec_func.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

work_report makeReport() {
  work_report Report{{host_name("entry-1"), incarnation(3)}, 9, report_scope::Group, false, {}};
  waiting_load Load{42, 17, {}};
  Load.Counts[1] = 5;
  Load.Counts[RankClassCount - 1] = 65'535;
  Report.Waiting = {Load};
  return Report;
}

TEST(waiting_codec, KeepsAllFields) {
  const work_report Report = makeReport();
  const auto Decoded = decodeWaitingReport("fleet", encodeWaitingReport("fleet", Report));
  ASSERT_TRUE(succeeded(Decoded));
  EXPECT_EQ(valueOf(Decoded).Sender, Report.Sender);
  EXPECT_EQ(valueOf(Decoded).Sequence, Report.Sequence);
  EXPECT_EQ(valueOf(Decoded).Scope, Report.Scope);
  EXPECT_EQ(valueOf(Decoded).Waiting, Report.Waiting);
}

/// Guards against a failure of builds that don't know these datagrams: they try the other kinds and
/// then drop the datagram.
TEST(waiting_codec, IsAnotherKindForEarlierBuilds) {
  const std::string Bytes = encodeWaitingReport("fleet", makeReport());
  EXPECT_EQ(errorOf(decodeWorkReport("fleet", Bytes)), wire_error::OtherKind);
  EXPECT_EQ(errorOf(decodePermitMessage("fleet", Bytes)), wire_error::OtherKind);
  EXPECT_EQ(errorOf(decodeRetryMessage("fleet", Bytes)), wire_error::OtherKind);
}

TEST(waiting_codec, RefusesTruncatedAndOverlongReports) {
  const std::string Bytes = encodeWaitingReport("fleet", makeReport());
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    EXPECT_FALSE(succeeded(decodeWaitingReport("fleet", std::span(Bytes.data(), Size))));
  work_report TooMany = makeReport();
  TooMany.Waiting->resize(MaxWaitingServices + 1);
  EXPECT_FALSE(succeeded(decodeWaitingReport("fleet", encodeWaitingReport("fleet", TooMany))));
}

} // namespace
} // namespace pollenstall
