/** @file prompt_reader.cpp A Boost.JSON handler that keeps the facts and discards the text. */
#include "relay/prompt_reader_func.h"

#include <boost/json/basic_parser_impl.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace pollenstall {

namespace {

namespace json = boost::json;

constexpr std::size_t MaxModelName = 256;
constexpr std::size_t MaxMessageHashBytes = 64U << 10U;
constexpr std::int64_t BytesPerTokenId =
    4; ///< A prompt of token ids counts as this many bytes per id.

/// What a value of the body means.
enum class value_role : std::uint8_t {
  Document,
  Model,
  Stream,
  MaxTokens,
  MaxCompletionTokens,
  Messages,
  Message,
  Role,
  Content,
  Part,
  Prompt,        ///< A string, token ids, or a list of either.
  PromptElement, ///< An element of such a list.
  Counted,       ///< The model reads its strings: tool calls, tools.
  Other,
};

/// A top-level key that must be unique: an engine might read the other occurrence.
struct top_level_key {
  std::string_view Name;
  value_role Role;
};

constexpr std::array TopLevelKeys{
    top_level_key{"model", value_role::Model},
    top_level_key{"stream", value_role::Stream},
    top_level_key{"max_tokens", value_role::MaxTokens},
    top_level_key{"max_completion_tokens", value_role::MaxCompletionTokens},
    top_level_key{"messages", value_role::Messages},
    top_level_key{"prompt", value_role::Prompt},
    top_level_key{"tools", value_role::Counted},
};

std::string_view allowedFor(value_role Role) {
  switch (Role) {
  case value_role::Document:
    return "must be a JSON object";
  case value_role::Model:
    return "must be a string of 1 to 256 bytes";
  case value_role::Stream:
    return "must be true or false";
  case value_role::MaxTokens:
  case value_role::MaxCompletionTokens:
    return "must be a whole number from 1";
  case value_role::Messages:
    return "must be a non-empty list of messages";
  case value_role::Message:
    return "must be an object with \"role\"";
  case value_role::Role:
    return "must be a string";
  case value_role::Content:
    return "must be a string, null or a list of parts";
  case value_role::Part:
    return "must be an object";
  case value_role::Prompt:
  case value_role::PromptElement:
    return "must be a string, a list of strings or a list of token ids";
  default:
    return "is not allowed";
  }
}

/// A container that is being parsed.
struct frame {
  value_role Role{value_role::Other};
  bool Array{false};
  std::size_t Index{0}; ///< Index of the current element.
  std::string Key;      ///< Key of the current member.
  bool HasRole{false};  ///< The message's "role" has been parsed.
};

class prompt_handler {
public:
  static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_key_size = 1U << 16U;
  static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();

  explicit prompt_handler(prompt_form RequestedForm) : Form(RequestedForm) {}

  bool on_document_begin(json::error_code &) { return true; }
  bool on_document_end(json::error_code &) { return true; }

  bool on_object_begin(json::error_code &Code) {
    const value_role Role = currentRole();
    const bool Allowed = Role == value_role::Document || Role == value_role::Message ||
                         Role == value_role::Part || Role == value_role::Counted ||
                         Role == value_role::Other;
    return Allowed ? enter(Role, false) : refuse(Role, Code);
  }

  bool on_object_end(std::size_t, json::error_code &Code) {
    const frame Ended = std::move(Frames.back());
    Frames.pop_back();
    if (Ended.Role == value_role::Message && !Ended.HasRole)
      return refuse(value_role::Message, Code);
    if (Ended.Role == value_role::Message)
      endMessage();
    return leaveValue();
  }

  bool on_array_begin(json::error_code &Code) {
    const value_role Role = currentRole();
    const bool Allowed = Role == value_role::Messages || Role == value_role::Content ||
                         Role == value_role::Prompt || Role == value_role::PromptElement ||
                         Role == value_role::Counted || Role == value_role::Other;
    return Allowed ? enter(Role, true) : refuse(Role, Code);
  }

  bool on_array_end(std::size_t Count, json::error_code &Code) {
    const value_role Role = Frames.back().Role;
    Frames.pop_back();
    if (Count == 0 && (Role == value_role::Messages || Role == value_role::Prompt))
      return refuse(Role, Code);
    return leaveValue();
  }

  bool on_key_part(json::string_view Part, std::size_t, json::error_code &) {
    Key.append(Part.data(), Part.size());
    return true;
  }

  bool on_key(json::string_view Part, std::size_t, json::error_code &Code) {
    Key.append(Part.data(), Part.size());
    Frames.back().Key = std::move(Key);
    Key.clear();
    return Frames.size() > 1 || checkTopLevelKey(Code);
  }

  bool on_string_part(json::string_view Part, std::size_t, json::error_code &Code) {
    return addText({Part.data(), Part.size()}, Code);
  }

  bool on_string(json::string_view Part, std::size_t, json::error_code &Code) {
    if (!addText({Part.data(), Part.size()}, Code))
      return false;
    if (currentRole() == value_role::Model && Facts.Model.empty())
      return refuse(value_role::Model, Code);
    if (currentRole() == value_role::Role)
      Frames.back().HasRole = true;
    return leaveValue();
  }

  bool on_number_part(json::string_view, json::error_code &) { return true; }

  bool on_int64(std::int64_t Value, json::string_view, json::error_code &Code) {
    const value_role Role = currentRole();
    switch (Role) {
    case value_role::MaxTokens:
    case value_role::MaxCompletionTokens:
      return setTokenLimit(Role, Value, Code);
    case value_role::PromptElement:
      Facts.PromptBytes += byte_count(BytesPerTokenId);
      hashText({reinterpret_cast<const char *>(&Value), sizeof(Value)});
      return leaveValue();
    default:
      return acceptOther(Code);
    }
  }

  bool on_uint64(std::uint64_t, json::string_view, json::error_code &Code) {
    return acceptOther(Code);
  }
  bool on_double(double, json::string_view, json::error_code &Code) { return acceptOther(Code); }

  bool on_bool(bool Value, json::error_code &Code) {
    if (currentRole() != value_role::Stream)
      return acceptOther(Code);
    Facts.Stream = Value;
    return leaveValue();
  }

  bool on_null(json::error_code &Code) {
    const value_role Role = currentRole();
    const bool Allowed = Role == value_role::Content || Role == value_role::Stream ||
                         Role == value_role::MaxTokens || Role == value_role::MaxCompletionTokens;
    return Allowed ? leaveValue() : acceptOther(Code);
  }

  bool on_comment_part(json::string_view, json::error_code &) { return true; }
  bool on_comment(json::string_view, json::error_code &) { return true; }

  /// The error, if the handler itself refused the body.
  std::optional<prompt_error> Error;

  /// Returns the facts, or an error that names a missing required key.
  result<prompt_facts, prompt_error> finish() {
    if (!seen(value_role::Model))
      return prompt_error{"model", std::string(allowedFor(value_role::Model))};
    if (Form == prompt_form::Chat && !seen(value_role::Messages))
      return prompt_error{"messages", std::string(allowedFor(value_role::Messages))};
    if (Form == prompt_form::Completion && !seen(value_role::Prompt))
      return prompt_error{"prompt", std::string(allowedFor(value_role::Prompt))};
    Facts.AnswerLimit = MaxCompletionTokens ? MaxCompletionTokens : MaxTokens;
    if (!Messages.empty())
      Messages.pop_back();
    Facts.SharedParts = std::move(Messages);
    return std::move(Facts);
  }

private:
  [[nodiscard]] value_role currentRole() const {
    if (Frames.empty())
      return value_role::Document;
    const frame &Parent = Frames.back();
    return Parent.Array ? elementRole(Parent.Role) : memberRole(Parent);
  }

  static value_role elementRole(value_role Array) {
    switch (Array) {
    case value_role::Messages:
      return value_role::Message;
    case value_role::Content:
      return value_role::Part;
    case value_role::Prompt:
    case value_role::PromptElement:
      return value_role::PromptElement;
    case value_role::Counted:
      return value_role::Counted;
    default:
      return value_role::Other;
    }
  }

  static value_role memberRole(const frame &Object) {
    switch (Object.Role) {
    case value_role::Document:
      return topLevelRole(Object.Key);
    case value_role::Message:
      if (Object.Key == "role")
        return value_role::Role;
      return Object.Key == "content" ? value_role::Content : value_role::Counted;
    case value_role::Part:
      // Only text counts: an image's base64 bytes are not read as tokens.
      return Object.Key == "text" ? value_role::Counted : value_role::Other;
    case value_role::Counted:
      return value_role::Counted;
    default:
      return value_role::Other;
    }
  }

  static value_role topLevelRole(std::string_view Name) {
    for (const top_level_key &Candidate : TopLevelKeys)
      if (Candidate.Name == Name)
        return Candidate.Role;
    return value_role::Other;
  }

  [[nodiscard]] bool seen(value_role Role) const {
    return (SeenTopLevelKeys & (1U << static_cast<unsigned>(Role))) != 0;
  }

  bool checkTopLevelKey(json::error_code &Code) {
    const value_role Role = topLevelRole(Frames.back().Key);
    if (Role == value_role::Other)
      return true;
    if (seen(Role))
      return refuseAs("must appear exactly once", Code);
    SeenTopLevelKeys |= 1U << static_cast<unsigned>(Role);
    return true;
  }

  bool enter(value_role Role, bool Array) {
    Frames.push_back({Role, Array, 0, {}, false});
    return true;
  }

  bool leaveValue() {
    if (!Frames.empty() && Frames.back().Array)
      ++Frames.back().Index;
    return true;
  }

  bool acceptOther(json::error_code &Code) {
    const value_role Role = currentRole();
    const bool Allowed = Role == value_role::Other || Role == value_role::Counted;
    return Allowed ? leaveValue() : refuse(Role, Code);
  }

  bool setTokenLimit(value_role Role, std::int64_t Value, json::error_code &Code) {
    if (Value < 1)
      return refuse(Role, Code);
    (Role == value_role::MaxTokens ? MaxTokens : MaxCompletionTokens) = Value;
    return leaveValue();
  }

  bool addText(std::string_view Text, json::error_code &Code) {
    switch (const value_role Role = currentRole()) {
    case value_role::Model:
      Facts.Model += Text;
      return Facts.Model.size() <= MaxModelName || refuse(Role, Code);
    case value_role::Role:
    case value_role::Content:
    case value_role::Prompt:
    case value_role::PromptElement:
    case value_role::Counted:
      Facts.PromptBytes += byte_count(static_cast<std::int64_t>(Text.size()));
      hashText(Text);
      hashMessage(Text);
      return true;
    case value_role::Other:
      return true;
    default:
      return refuse(Role, Code);
    }
  }

  /// Hashes the beginning and the length: a message of several megabytes would take milliseconds.
  void hashMessage(std::string_view Text) {
    const std::size_t Room = MaxMessageHashBytes - std::min(MessageBytes, MaxMessageHashBytes);
    MessageHash = stableHash(Text.substr(0, Room), MessageHash);
    MessageBytes += Text.size();
  }

  void endMessage() {
    if (Messages.size() <= MaxSharedParts)
      Messages.push_back(std::to_string(combineHashes(MessageHash, MessageBytes)));
    MessageHash = StableHashSeed;
    MessageBytes = 0;
  }

  void hashText(std::string_view Text) {
    while (!Text.empty() && Facts.PrefixHashes.size() < MaxPrefixChunks) {
      const std::string_view Part = Text.substr(0, PrefixChunkBytes - ChunkFill);
      ChunkHash = stableHash(Part, ChunkHash);
      ChunkFill += Part.size();
      Text.remove_prefix(Part.size());
      if (ChunkFill == PrefixChunkBytes) {
        Facts.PrefixHashes.push_back(ChunkHash);
        ChunkFill = 0;
      }
    }
  }

  [[nodiscard]] std::string currentPath() const {
    std::string Text;
    for (const frame &Part : Frames) {
      if (Part.Array)
        Text += "[" + std::to_string(Part.Index) + "]";
      else
        Text += (Text.empty() ? "" : ".") + Part.Key;
    }
    return Text.empty() ? "body" : Text;
  }

  bool refuse(value_role Role, json::error_code &Code) { return refuseAs(allowedFor(Role), Code); }

  bool refuseAs(std::string_view Message, json::error_code &Code) {
    Error = prompt_error{currentPath(), std::string(Message)};
    Code = json::make_error_code(json::error::syntax);
    return false;
  }

  prompt_form Form;
  prompt_facts Facts;
  std::vector<frame> Frames;
  std::string Key;
  unsigned SeenTopLevelKeys{0};
  std::optional<std::int64_t> MaxTokens;
  std::optional<std::int64_t> MaxCompletionTokens;
  std::vector<std::string> Messages; ///< Their names, up to one more than MaxSharedParts.
  std::uint64_t MessageHash{StableHashSeed};
  std::size_t MessageBytes{0};
  std::uint64_t ChunkHash{StableHashSeed};
  std::size_t ChunkFill{0};
};

} // namespace

result<prompt_facts, prompt_error> readPrompt(std::string_view Body, prompt_form Form) {
  json::basic_parser<prompt_handler> Parser(json::parse_options{}, Form);
  json::error_code Code;
  const std::size_t Read = Parser.write_some(false, Body.data(), Body.size(), Code);
  if (Parser.handler().Error)
    return *Parser.handler().Error;
  if (Code || Read < Body.size() || !Parser.done())
    return prompt_error{"body", "must be UTF-8 encoded JSON; it is invalid from byte " +
                                    std::to_string(Read)};
  return Parser.handler().finish();
}

} // namespace pollenstall
