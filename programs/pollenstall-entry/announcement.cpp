/** @file announcement.cpp JSON of an announcement, field by field. */
#include "announcement_func.h"

#include "settings/settings.h"

#include <boost/json.hpp>

#include <optional>

namespace pollenstall {

namespace {

namespace json = boost::json;

constexpr std::size_t MaxAnnouncementBytes = 64U << 10U;

/// Reads members of one object and remembers the first that is wrong.
class member_reader {
public:
  member_reader(const json::object &Source, std::string Place,
                std::optional<announcement_fault> &At)
      : Object(Source), Prefix(std::move(Place)), Fault(At) {}

  std::string text(std::string_view Name) {
    const json::value *Value = Object.if_contains(Name);
    if (Value && Value->is_string())
      return std::string(Value->get_string());
    refuse(Name, "must be a text");
    return {};
  }

  std::string textOf(std::string_view Name, std::initializer_list<std::string_view> Allowed) {
    std::string Text = text(Name);
    for (const std::string_view Known : Allowed)
      if (Known == Text)
        return Text;
    refuse(Name, "is not one of the allowed texts");
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
    for (const json::value &Item : Value->get_array())
      if (Item.is_string())
        Texts.emplace_back(Item.get_string());
      else
        refuse(Name, "must be a list of texts");
    return Texts;
  }

  /// @return The members of an object; an absent one reads as empty.
  member_reader object(std::string_view Name) {
    static const json::object Empty;
    const json::value *Value = Object.if_contains(Name);
    if (Value && !Value->is_object())
      refuse(Name, "must be an object");
    const bool Usable = Value && Value->is_object();
    return {Usable ? Value->get_object() : Empty, Prefix + std::string(Name) + ".", Fault};
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

order_check orderCheckOf(const std::string &Text) {
  if (Text == "fenced")
    return order_check::Fenced;
  return Text == "unfenced" ? order_check::Unfenced : order_check::None;
}

backend_capabilities readCapabilities(member_reader From, bool Model) {
  backend_capabilities Capabilities;
  Capabilities.Model = Model;
  Capabilities.Priorities = From.flag("priorities");
  Capabilities.Cancels = From.flag("cancels");
  Capabilities.Resumes = From.flag("resumes");
  Capabilities.MovesCache = From.flag("moves_cache");
  if (From.has("orders"))
    Capabilities.Orders = orderCheckOf(From.textOf("orders", {"none", "unfenced", "fenced"}));
  return Capabilities;
}

void readLabels(member_reader From, std::map<std::string, std::string> &Into) {
  for (const auto &Member : From.members())
    Into.emplace(Member.key(), From.text({Member.key().data(), Member.key().size()}));
}

void readMemory(member_reader From, backend_announcement &Into) {
  if (!From.has("blocks"))
    return;
  Into.Memory = memory_blocks(From.amount("blocks"));
  Into.BlockTokens = tokens(From.amount("block_tokens"));
}

backend_load readLoad(member_reader From) {
  backend_load Load;
  Load.Sequence = From.number("sequence");
  Load.Running = From.count("running");
  Load.Waiting = From.count("waiting");
  Load.WaitingPrefill = tokens(From.amount("waiting_prefill_tokens"));
  Load.UsedBlocks = memory_blocks(From.amount("used_blocks"));
  Load.CachedBlocks = memory_blocks(From.amount("cached_blocks"));
  return Load;
}

received_announcement readMembers(member_reader &From) {
  received_announcement Read;
  backend_announcement &Into = Read.Announcement;
  Into.Key.Address = backend_address(From.text("address"));
  if (checkAddress(Into.Key.Address.str()))
    From.refuse("address", "must be IP:port");
  Into.Key.Incarnation = incarnation(From.number("incarnation"));
  Into.Domain = failure_domain_name(From.text("failure_domain"));
  Into.Service = service_name(From.text("service"));
  const bool Model = From.textOf("kind", {"model", "plain"}) == "model";
  readLabels(From.object("labels"), Into.Labels);
  for (std::string &Name : From.texts("models"))
    Into.Models.emplace_back(std::move(Name));
  Into.Capabilities = readCapabilities(From.object("capabilities"), Model);
  readMemory(From.object("memory"), Into);
  Into.Leaving = From.textOf("standing", {"active", "leaving"}) == "leaving";
  if (From.has("load"))
    Read.Load = readLoad(From.object("load"));
  Read.Load.Sequence = From.number("sequence");
  return Read;
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
  member_reader From(Parsed.get_object(), "", Fault);
  received_announcement Read = readMembers(From);
  if (From.text("fleet") != Fleet)
    From.refuse("fleet", "names another fleet");
  if (Fault)
    return *Fault;
  return Read;
}

} // namespace pollenstall
