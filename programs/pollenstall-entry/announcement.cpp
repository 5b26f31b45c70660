/** @file announcement.cpp Parses and validates the JSON of an announcement. */
#include "announcement_func.h"

#include "settings/settings.h"

#include <boost/json.hpp>

#include <optional>

namespace pollenstall {

namespace {

namespace json = boost::json;

constexpr std::size_t MaxAnnouncementBytes = 64U << 10U;

/// Reads the members of one JSON object and records the first invalid one.
class member_reader {
public:
  member_reader(const json::object &Source, std::string FieldPrefix,
                std::optional<announcement_fault> &FirstFault)
      : Object(Source), Prefix(std::move(FieldPrefix)), Fault(FirstFault) {}

  std::string text(std::string_view Name) {
    const json::value *Value = Object.if_contains(Name);
    if (Value && Value->is_string())
      return std::string(Value->get_string());
    refuse(Name, "must be a string");
    return {};
  }

  std::string choice(std::string_view Name, std::initializer_list<std::string_view> Allowed) {
    std::string Text = text(Name);
    for (const std::string_view AllowedValue : Allowed)
      if (AllowedValue == Text)
        return Text;
    refuse(Name, "is not one of the allowed values");
    return Text;
  }

  std::uint64_t number(std::string_view Name) {
    const json::value *Value = Object.if_contains(Name);
    if (Value && Value->is_int64() && Value->get_int64() >= 0)
      return static_cast<std::uint64_t>(Value->get_int64());
    if (Value && Value->is_uint64())
      return Value->get_uint64();
    refuse(Name, "must be a whole number from 0");
    return 0;
  }

  std::int64_t amount(std::string_view Name) {
    const std::uint64_t Value = number(Name);
    if (std::in_range<std::int64_t>(Value))
      return static_cast<std::int64_t>(Value);
    refuse(Name, "is too large");
    return 0;
  }

  std::uint32_t count(std::string_view Name) {
    const std::uint64_t Value = number(Name);
    if (std::in_range<std::uint32_t>(Value))
      return static_cast<std::uint32_t>(Value);
    refuse(Name, "is too large");
    return 0;
  }

  bool flag(std::string_view Name) {
    const json::value *Value = Object.if_contains(Name);
    if (!Value)
      return false;
    if (Value->is_bool())
      return Value->get_bool();
    refuse(Name, "must be true or false");
    return false;
  }

  std::vector<std::string> texts(std::string_view Name) {
    std::vector<std::string> Texts;
    const json::value *Value = Object.if_contains(Name);
    if (!Value)
      return Texts;
    if (!Value->is_array()) {
      refuse(Name, "must be a list of texts");
      return Texts;
    }
    for (const json::value &Element : Value->get_array())
      if (Element.is_string())
        Texts.emplace_back(Element.get_string());
      else
        refuse(Name, "must be a list of texts");
    return Texts;
  }

  /// Returns a reader for a member object; an absent member reads as an empty object.
  member_reader object(std::string_view Name) {
    static const json::object Empty;
    const json::value *Value = Object.if_contains(Name);
    if (Value && !Value->is_object())
      refuse(Name, "must be an object");
    const bool IsObject = Value && Value->is_object();
    return {IsObject ? Value->get_object() : Empty, Prefix + std::string(Name) + ".", Fault};
  }

  [[nodiscard]] bool has(std::string_view Name) const { return Object.contains(Name); }
  [[nodiscard]] const json::object &members() const { return Object; }

  void refuse(std::string_view Name, std::string Message) {
    if (!Fault)
      Fault = announcement_fault{Prefix + std::string(Name), std::move(Message)};
  }

private:
  const json::object &Object;
  std::string Prefix;
  std::optional<announcement_fault> &Fault;
};

/// Returns how the server checks the orders of control hosts; any other text: it takes none.
order_check parseOrderCheck(const std::string &Text) {
  if (Text == "fenced")
    return order_check::Fenced;
  return Text == "unfenced" ? order_check::Unfenced : order_check::None;
}

backend_capabilities readCapabilities(member_reader Reader, bool Model) {
  backend_capabilities Capabilities;
  Capabilities.Model = Model;
  Capabilities.Priorities = Reader.flag("priorities");
  Capabilities.Cancels = Reader.flag("cancels");
  Capabilities.Resumes = Reader.flag("resumes");
  Capabilities.MovesCache = Reader.flag("moves_cache");
  if (Reader.has("orders"))
    Capabilities.Orders = parseOrderCheck(Reader.choice("orders", {"none", "unfenced", "fenced"}));
  return Capabilities;
}

void readLabels(member_reader Reader, std::map<std::string, std::string> &Target) {
  for (const auto &Member : Reader.members())
    Target.emplace(Member.key(), Reader.text({Member.key().data(), Member.key().size()}));
}

void readMemory(member_reader Reader, backend_announcement &Target) {
  if (!Reader.has("blocks"))
    return;
  Target.Memory = memory_blocks(Reader.amount("blocks"));
  Target.BlockTokens = tokens(Reader.amount("block_tokens"));
}

backend_load readLoad(member_reader Reader) {
  backend_load Load;
  Load.Sequence = Reader.number("sequence");
  Load.Running = Reader.count("running");
  Load.Waiting = Reader.count("waiting");
  Load.WaitingPrefill = tokens(Reader.amount("waiting_prefill_tokens"));
  Load.UsedBlocks = memory_blocks(Reader.amount("used_blocks"));
  Load.CachedBlocks = memory_blocks(Reader.amount("cached_blocks"));
  return Load;
}

received_announcement readMembers(member_reader &Reader) {
  received_announcement Result;
  backend_announcement &Target = Result.Announcement;
  Target.Key.Address = backend_address(Reader.text("address"));
  if (checkAddress(Target.Key.Address.str()))
    Reader.refuse("address", "must be IP:port");
  Target.Key.Incarnation = incarnation(Reader.number("incarnation"));
  Target.Domain = failure_domain_name(Reader.text("failure_domain"));
  Target.Service = service_name(Reader.text("service"));
  const bool Model = Reader.choice("kind", {"model", "plain"}) == "model";
  readLabels(Reader.object("labels"), Target.Labels);
  for (std::string &Name : Reader.texts("models"))
    Target.Models.emplace_back(std::move(Name));
  Target.Capabilities = readCapabilities(Reader.object("capabilities"), Model);
  readMemory(Reader.object("memory"), Target);
  Target.Leaving = Reader.choice("standing", {"active", "leaving"}) == "leaving";
  if (Reader.has("load"))
    Result.Load = readLoad(Reader.object("load"));
  Result.Load.Sequence = Reader.number("sequence");
  return Result;
}

} // namespace

result<received_announcement, announcement_fault> readAnnouncement(std::string_view Body,
                                                                   std::string_view Fleet) {
  if (Body.size() > MaxAnnouncementBytes)
    return announcement_fault{"body", "must not be larger than 65536 bytes"};
  json::error_code Code;
  const json::value Parsed = json::parse(json::string_view(Body.data(), Body.size()), Code);
  if (Code || !Parsed.is_object())
    return announcement_fault{"body", "must be a JSON object"};
  std::optional<announcement_fault> Fault;
  member_reader Reader(Parsed.get_object(), "", Fault);
  received_announcement Result = readMembers(Reader);
  if (Reader.text("fleet") != Fleet)
    Reader.refuse("fleet", "names another fleet");
  if (Fault)
    return *Fault;
  return Result;
}

} // namespace pollenstall
