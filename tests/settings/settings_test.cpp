/** @file settings_test.cpp Tests defaults, bounds and unknown keys of settings tables. */
#include "settings/settings.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

struct sample_settings {
  std::string Name;
  std::uint32_t Queue{0};
  std::chrono::milliseconds Wait{0};
  std::chrono::milliseconds Grace{0};
  std::optional<double> Reserve;
  double Part{0};
  bool Loud{false};
  std::vector<std::string> Peers;
};

settings_table<sample_settings> sampleTable() {
  settings_table<sample_settings> Table;
  Table.text("host.name", &sample_settings::Name, presence::Required, "a name", checkName, "Who.")
      .number("queue.most", &sample_settings::Queue, {64U, 1U, 4096U}, "Bound.")
      .span("wait_ms", &sample_settings::Wait,
            {std::chrono::milliseconds(500), std::chrono::milliseconds(10),
             std::chrono::milliseconds(60'000)},
            "How long.")
      .span("grace_s", &sample_settings::Grace,
            {std::chrono::seconds(30), std::chrono::milliseconds(100), std::chrono::hours(1)},
            "How long, in seconds.")
      .fraction("reserve", &sample_settings::Reserve, 0.0, 1e6, "none", "Spare.")
      .fraction("part", &sample_settings::Part, {0.5, 0.0, 1.0}, "Part.")
      .flag("loud", &sample_settings::Loud, false, "Loud.")
      .texts("peers", &sample_settings::Peers, presence::Optional, "IP:port", checkAddress, "Who.");
  return Table;
}

std::vector<settings_error> errorsOf(const std::string &Text) {
  const auto Loaded = sampleTable().loadText(Text, "f.toml");
  return succeeded(Loaded) ? std::vector<settings_error>{} : errorOf(Loaded);
}

TEST(Settings, UseDefaultsForAbsentKeys) {
  const auto Loaded = sampleTable().loadText("[host]\nname = \"a-1\"\n", "f.toml");
  ASSERT_TRUE(succeeded(Loaded));
  EXPECT_EQ(valueOf(Loaded).Queue, 64U);
  EXPECT_EQ(valueOf(Loaded).Wait.count(), 500);
  EXPECT_DOUBLE_EQ(valueOf(Loaded).Part, 0.5);
}

TEST(Settings, ReadEveryType) {
  const auto Loaded = sampleTable().loadText("loud = true\npart = 1\nwait_ms = 20\n"
                                             "peers = [\"127.0.0.1:1\", \"[::1]:2\"]\n"
                                             "[host]\nname = \"a\"\n[queue]\nmost = 7\n",
                                             "f.toml");
  ASSERT_TRUE(succeeded(Loaded));
  EXPECT_TRUE(valueOf(Loaded).Loud);
  EXPECT_EQ(valueOf(Loaded).Peers.size(), 2U);
  EXPECT_EQ(valueOf(Loaded).Queue, 7U);
}

// A platform computes some values from the size of a site, such as 103.6 retries, 1,200.5 ms or
// 7.5 s. A program that accepted only integers would fail to start there.
TEST(Settings, AcceptFractionsForDurationsAndRates) {
  const auto Loaded = sampleTable().loadText(
      "wait_ms = 20.4\ngrace_s = 7.5\nreserve = 103.6\n[host]\nname = \"a\"\n", "f.toml");
  ASSERT_TRUE(succeeded(Loaded));
  EXPECT_EQ(valueOf(Loaded).Wait.count(), 20);
  EXPECT_EQ(valueOf(Loaded).Grace.count(), 7'500);
  EXPECT_DOUBLE_EQ(valueOf(Loaded).Reserve.value(), 103.6);
}

// A value of 0 differs from an absent key.
TEST(Settings, DistinguishZeroFromAbsence) {
  const auto Absent = sampleTable().loadText("[host]\nname = \"a\"\n", "f.toml");
  ASSERT_TRUE(succeeded(Absent));
  EXPECT_EQ(valueOf(Absent).Reserve, std::nullopt);
  const auto Zero = sampleTable().loadText("reserve = 0\n[host]\nname = \"a\"\n", "f.toml");
  ASSERT_TRUE(succeeded(Zero));
  EXPECT_EQ(valueOf(Zero).Reserve, 0.0);
}

TEST(Settings, ReportBoundsOfSecondsInSeconds) {
  const auto Errors = errorsOf("grace_s = 0.05\n[host]\nname = \"a\"\n");
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(Errors[0].Allowed, "seconds from 0.1 to 3600");
}

TEST(Settings, ReportFileLineKeyAndAllowedValues) {
  const auto Errors = errorsOf("wait_ms = 5\n[host]\nname = \"a\"\n");
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(Errors[0], (settings_error{"f.toml", 1, "wait_ms", "milliseconds from 10 to 60000"}));
  EXPECT_EQ(toText(Errors), "f.toml:1: wait_ms: allowed: milliseconds from 10 to 60000\n");
}

TEST(Settings, RejectAnUnknownKeyByName) {
  const auto Errors = errorsOf("[host]\nname = \"a\"\nnam = \"b\"\n");
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(Errors[0].Key, "host.nam");
  EXPECT_EQ(Errors[0].Line, 3);
}

TEST(Settings, ReportEveryErrorAtOnce) {
  EXPECT_EQ(errorsOf("loud = 3\npart = 2.0\npeers = [\"localhost:1\"]\n[queue]\nmost = 0\n").size(),
            5U);
}

TEST(Settings, RejectInvalidToml) {
  const auto Errors = errorsOf("a = = b\n");
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(Errors[0].Line, 1);
}

TEST(Settings, RejectAMissingFile) {
  EXPECT_FALSE(succeeded(sampleTable().load("no-such-file.toml")));
}

} // namespace
} // namespace pollenstall
