/** @file header_filter_test.cpp Which headers are forwarded and which never are. */
#include "relay/relay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace pollenstall {
namespace {

using boost::beast::http::fields;

std::vector<std::string> namesPassed(const fields &Fields) {
  std::vector<std::string> Names;
  for (const header_line &Line : forwardedRequestHeaders(Fields))
    Names.push_back(Line.Name);
  return Names;
}

TEST(HeaderFilter, ForwardsEndToEndHeaders) {
  fields Fields;
  Fields.insert("Content-Type", "application/json");
  Fields.insert("Idempotency-Key", "k");
  Fields.insert("Cookie", "a=b");
  EXPECT_EQ(namesPassed(Fields).size(), 3U);
}

TEST(HeaderFilter, DropsHopByHopHeadersAndHeadersNamedByConnection) {
  fields Fields;
  Fields.insert("Connection", "keep-alive, X-Hop");
  Fields.insert("X-Hop", "1");
  Fields.insert("Transfer-Encoding", "chunked");
  Fields.insert("Upgrade", "h2c");
  Fields.insert("TE", "trailers");
  EXPECT_TRUE(namesPassed(Fields).empty());
}

TEST(HeaderFilter, DropsTheCallersKey) {
  fields Fields;
  Fields.insert("Authorization", "Bearer secret");
  EXPECT_TRUE(namesPassed(Fields).empty());
}

TEST(HeaderFilter, DropsReservedHeadersFromAnswers) {
  fields Fields;
  Fields.insert("X-Pollenstall-Attempt", "a/1/1/1");
  Fields.insert("Content-Length", "4");
  Fields.insert("ETag", "x");
  const auto Lines = forwardedAnswerHeaders(Fields);
  ASSERT_EQ(Lines.size(), 1U);
  EXPECT_EQ(Lines[0].Name, "ETag");
}

/// A caller that names an attempt could have another caller's work cancelled or resumed.
RC_GTEST_PROP(HeaderFilter, DropsReservedHeadersInAnySpelling, ()) {
  std::string Name = "x-pollenstall-" + std::string(*rc::gen::element("attempt", "account", "q"));
  for (char &Character : Name) {
    if (*rc::gen::arbitrary<bool>())
      Character = static_cast<char>(std::toupper(static_cast<unsigned char>(Character)));
    if (Character == '-' && *rc::gen::arbitrary<bool>())
      Character = '_';
  }
  fields Fields;
  Fields.insert(Name, "v");
  RC_ASSERT(namesPassed(Fields).empty());
}

} // namespace
} // namespace pollenstall
