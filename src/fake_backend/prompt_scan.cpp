/** @file prompt_scan.cpp Implements the handler of Boost.JSON's streaming parser. */
#include "fake_backend/prompt_scan_func.h"

#include <boost/json/basic_parser_impl.hpp>

#include <algorithm>

namespace pollenstall {

namespace {

/// Computes a running hash of the contents and records it at the end of each full block.
class prompt_hasher {
public:
  explicit prompt_hasher(std::int64_t BlockTokens) : BlockBytes(BlockTokens * BytesPerToken) {}

  void add(std::string_view Text) {
    while (!Text.empty()) {
      const auto BytesToBlockEnd = static_cast<std::size_t>(BlockBytes - Bytes % BlockBytes);
      const std::string_view Part = Text.substr(0, BytesToBlockEnd);
      Hash = stableHash(Part, Hash);
      Bytes += static_cast<std::int64_t>(Part.size());
      if (Part.size() == BytesToBlockEnd)
        Blocks.push_back(Hash);
      Text.remove_prefix(Part.size());
    }
  }

  std::uint64_t Hash{StableHashSeed};
  std::int64_t Bytes{0};
  std::vector<std::uint64_t> Blocks;

private:
  std::int64_t BlockBytes;
};

/// Tracks the path of keys and stores the relevant values; Boost.JSON prescribes the member names.
class call_handler {
public:
  static constexpr std::size_t max_object_size = ~std::size_t{0};
  static constexpr std::size_t max_array_size = ~std::size_t{0};
  static constexpr std::size_t max_key_size = 4096;
  static constexpr std::size_t max_string_size = ~std::size_t{0};
  using error_code = boost::json::error_code;
  using string_view = boost::json::string_view;

  explicit call_handler(std::int64_t BlockTokens) : Hasher(BlockTokens) {}

  bool on_document_begin(error_code &) { return true; }
  bool on_document_end(error_code &) { return true; }
  bool on_object_begin(error_code &) { return push(); }
  bool on_object_end(std::size_t, error_code &) { return pop(); }
  bool on_array_begin(error_code &) { return push(); }
  bool on_array_end(std::size_t, error_code &) { return pop(); }
  bool on_key_part(string_view Part, std::size_t, error_code &) {
    Key.append(Part.data(), Part.size());
    return true;
  }
  bool on_key(string_view Part, std::size_t, error_code &) {
    Key.append(Part.data(), Part.size());
    Path.back() = std::move(Key);
    Key.clear();
    return true;
  }
  bool on_string_part(string_view Part, std::size_t, error_code &) { return addText(Part); }
  bool on_string(string_view Part, std::size_t, error_code &) { return addText(Part); }
  bool on_number_part(string_view, error_code &) { return true; }
  bool on_int64(std::int64_t Value, string_view, error_code &) {
    if (atTopLevelKey("max_tokens") || atTopLevelKey("max_completion_tokens"))
      Call.AnswerTokens = Value;
    return true;
  }
  bool on_uint64(std::uint64_t, string_view, error_code &) { return true; }
  bool on_double(double, string_view, error_code &) { return true; }
  bool on_bool(bool Value, error_code &) {
    if (atTopLevelKey("stream"))
      Call.Stream = Value;
    return true;
  }
  bool on_null(error_code &) { return true; }
  bool on_comment_part(string_view, error_code &) { return true; }
  bool on_comment(string_view, error_code &) { return true; }

  model_call Call;
  prompt_hasher Hasher;
  bool PromptSeen{false};

private:
  bool push() {
    Path.emplace_back();
    return true;
  }
  bool pop() {
    Path.pop_back();
    return true;
  }
  [[nodiscard]] bool atTopLevelKey(std::string_view Name) const {
    return Path.size() == 1 && Path.front() == Name;
  }
  [[nodiscard]] bool inPrompt() const {
    if (Path.empty())
      return false;
    if (Path.front() == "prompt")
      return true;
    return Path.front() == "messages" && Path.size() > 2 &&
           (Path.back() == "content" || Path.back() == "text" || Path.back().empty());
  }
  bool addText(string_view Part) {
    const std::string_view View(Part.data(), Part.size());
    if (atTopLevelKey("model"))
      Call.Model += View;
    if (inPrompt()) {
      PromptSeen = true;
      Hasher.add(View);
    }
    return true;
  }

  std::vector<std::string> Path; ///< The current key of each open object; empty for arrays.
  std::string Key;
};

} // namespace

result<model_call, scan_error> scanModelCall(std::string_view Body, std::int64_t BlockTokens) {
  boost::json::basic_parser<call_handler> Parser(boost::json::parse_options{}, BlockTokens);
  boost::json::error_code Error;
  const std::size_t ParsedBytes = Parser.write_some(false, Body.data(), Body.size(), Error);
  if (Error || ParsedBytes != Body.size())
    return scan_error{"the body is not valid JSON"};
  call_handler &Handler = Parser.handler();
  if (!Handler.PromptSeen)
    return scan_error{"the body contains neither messages nor a prompt"};
  model_call Call = std::move(Handler.Call);
  Call.PromptHash = Handler.Hasher.Hash;
  Call.PromptTokens =
      std::max<std::int64_t>(1, (Handler.Hasher.Bytes + BytesPerToken - 1) / BytesPerToken);
  Call.BlockHashes = std::move(Handler.Hasher.Blocks);
  return Call;
}

} // namespace pollenstall
