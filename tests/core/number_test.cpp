/** @file number_test.cpp Tests of number parsing. */
#include "core/core.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

TEST(ParseNumber, ParsesWholeText) {
  EXPECT_EQ(parseNumber<std::uint64_t>("18446744073709551615"), 18'446'744'073'709'551'615ULL);
  EXPECT_EQ(parseNumber<int>("-3"), -3);
  EXPECT_EQ(parseNumber<double>("0.5"), 0.5);
}

TEST(ParseNumber, RejectsInvalidText) {
  for (const char *Text : {"", " 1", "1 ", "+1", "1x", "x", "0x10", "-1", "65536"})
    EXPECT_FALSE(parseNumber<std::uint16_t>(Text)) << Text;
}

} // namespace
} // namespace pollenstall
