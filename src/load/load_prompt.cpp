/** @file load_prompt.cpp Generates prompts that need no JSON escapes. */
#include "fake_backend/fake_backend.h"
#include "load/load_prompt_func.h"

#include <boost/json.hpp>

namespace pollenstall {

namespace {

/// Extends the text to Size bytes by repeating a word. Words differ by group and by request, so
/// that prompts of different groups share no cache blocks.
void fill(std::string &Text, std::size_t Size, const std::string &Word) {
  while (Text.size() < Size)
    Text += Word;
  Text.resize(Size);
}

} // namespace

load_prompt makePrompt(const load_settings &Settings, const length_class &Class,
                       std::uint64_t Number, std::uint64_t Group, bool Stream) {
  const auto Bytes = static_cast<std::size_t>(Class.PromptTokens * BytesPerToken);
  const std::string Seed = std::to_string(Settings.Seed);
  std::string Text;
  Text.reserve(Bytes + 64);
  fill(Text, Bytes * static_cast<std::size_t>(Settings.SharedPrefixPercent) / 100,
       "group" + std::to_string(Group) + " ");
  Text += "request " + Seed + "-" + std::to_string(Number) + " ";
  if (Text.size() < Bytes)
    fill(Text, Bytes, "word" + std::to_string(Number) + " ");
  load_prompt Prompt;
  Prompt.Hash = promptHash(Text);
  Prompt.Body.reserve(Text.size() + 256);
  Prompt.Body = R"({"model":)" + boost::json::serialize(boost::json::string(Settings.Model)) +
                R"(,"stream":)" + (Stream ? "true" : "false") + R"(,"max_tokens":)" +
                std::to_string(Settings.AnswerTokens) +
                R"(,"messages":[{"role":"user","content":")";
  Prompt.Body += Text;
  Prompt.Body += R"("}]})";
  return Prompt;
}

} // namespace pollenstall
