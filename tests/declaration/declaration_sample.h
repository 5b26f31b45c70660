/** @file declaration_sample.h A small declaration that the tests modify. */
#ifndef POLLENSTALL_TESTS_DECLARATION_DECLARATION_SAMPLE_H
#define POLLENSTALL_TESTS_DECLARATION_DECLARATION_SAMPLE_H

#include "declaration/declaration.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

namespace pollenstall {

inline const std::string SampleHashA(64, 'a');
inline const std::string SampleHashB(64, 'b');

/// A model service and a plain one, with a canary for account club-a.
inline const std::string SampleText = R"([[service]]
name = "llm"
kind = "model"
models = ["tactic"]

[[service]]
name = "portal"
kind = "plain"
routes = [
  { path_prefix = "/portal" },
  { path_prefix = "/portal/send", methods = ["POST"], idempotent = false },
  { host = "Clips.Example", path_prefix = "/" },
]

[[group]]
name = "stable"
service = "llm"
labels = { version = "1" }

[[group]]
name = "canary"
service = "llm"
labels = { version = "2" }

[[group]]
name = "portal-all"
service = "portal"

[[selector]]
name = "try-canary"
service = "llm"
accounts = ["club-a"]
headers = [{ name = "X-Canary", value = "yes" }]
prompt_from_tokens = 10
prompt_below_tokens = 1000
groups = [{ group = "canary", weight = 3 }, { group = "stable" }]

[[selector]]
name = "rest"
service = "llm"
groups = [{ group = "stable" }]

[[selector]]
name = "portal"
service = "portal"
groups = [{ group = "portal-all" }]

[[account]]
name = "club-a"
key_hashes = [")" + SampleHashA + R"("]

[[account]]
name = "club-b"
key_hashes = [")" + SampleHashB + R"("]
share = 2
)";

/// @return SampleText with the first occurrence of From replaced; fails the test if it is missing.
inline std::string sampleWith(const std::string &From, const std::string &To) {
  std::string Text = SampleText;
  const std::size_t Position = Text.find(From);
  EXPECT_NE(Position, std::string::npos) << From;
  return Text.replace(Position, From.size(), To);
}

/// @return The parsed declaration; fails the test if the text is rejected.
inline fleet_declaration parsed(const std::string &Text) {
  const auto Result = parseDeclaration(Text, "sample.toml");
  if (succeeded(Result))
    return valueOf(Result);
  ADD_FAILURE() << toText(errorOf(Result));
  return {};
}

/// @return The errors; fails the test if the text is accepted.
inline std::vector<declaration_error> refused(const std::string &Text) {
  const auto Result = parseDeclaration(Text, "sample.toml");
  if (!succeeded(Result))
    return errorOf(Result);
  ADD_FAILURE() << "accepted:\n" << Text;
  return {};
}

/// @return The content of a file in the source tree.
inline std::string sourceFile(const std::string &Path) {
  std::ifstream File(std::string(POLLENSTALL_SOURCE_DIR) + "/" + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_DECLARATION_DECLARATION_SAMPLE_H
