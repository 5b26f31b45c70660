/** @file call_plan.cpp Extracts the facts of a request from a validated head and body. */
#include "relay/call_plan_func.h"

#include "core/core.h"
#include "operators/operators.h"
#include "relay/call_error_func.h"
#include "relay/prompt_reader_func.h"

#include <boost/json.hpp>

#include <algorithm>

namespace pollenstall {

namespace {

constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned MethodNotAllowed = 405;
constexpr unsigned TooLarge = 413;

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::string_view ModelsPath = "/v1/models";
constexpr std::string_view ModelPrefix = "/v1/models/";

constexpr std::string_view TimeoutHeader = "X-Request-Timeout-Ms";
constexpr std::string_view IdempotentHeader = "X-Pollenstall-Idempotent";
constexpr std::string_view TokensHeader = "X-Prompt-Tokens";
constexpr std::string_view KeyHeader = "Idempotency-Key";
constexpr std::size_t MaxIdempotencyKey = 255;

call_error methodError(std::string_view Allowed) {
  return refusal(MethodNotAllowed, "invalid_request_error", "method_not_allowed", "method",
                 "must be " + std::string(Allowed));
}

call_error unknownModel(std::string_view Model) {
  return undeclared(refusal(NotFound, "invalid_request_error", "model_not_found", "model",
                            "The model \"" + std::string(Model) + "\" is not declared."));
}

std::size_t largestBody(const fleet_declaration &Declaration) {
  std::int64_t Largest = 0;
  for (const service_declaration &Service : Declaration.Services)
    if (Service.Kind == service_kind::Model)
      Largest = std::max(Largest, Service.MaxBody.value());
  return static_cast<std::size_t>(Largest);
}

result<call_plan, call_error> planModelCall(call_plan Plan, const request_head &Head,
                                            prompt_form Form) {
  if (Head.Method != "POST")
    return methodError("POST");
  Plan.Kind = model_call{Form};
  Plan.BodyLimit = largestBody(Plan.Declaration->declaration());
  return Plan;
}

result<call_plan, call_error> planModels(call_plan Plan, const request_head &Head,
                                         std::string_view Path) {
  if (Head.Method != "GET")
    return methodError("GET");
  models_call Call;
  if (Path.starts_with(ModelPrefix))
    Call.Model = Path.substr(ModelPrefix.size());
  Plan.Kind = std::move(Call);
  return Plan;
}

result<call_plan, call_error> planPlain(call_plan Plan, const request_head &Head) {
  const auto Match = Plan.Declaration->findRoute(Head.header("Host"), Head.Method, Head.Target);
  if (!Match)
    return undeclared(refusal(NotFound, "invalid_request_error", "unknown_route", "path",
                              "No service is declared for this host, path and method."));
  Plan.Kind = plain_call{Match->Service, Match->Idempotent};
  Plan.BodyLimit = static_cast<std::size_t>(Match->Service->MaxBody.value());
  return Plan;
}

std::optional<std::int64_t> positiveNumber(std::string_view Text) {
  const auto Value = parseNumber<std::int64_t>(Text);
  return Value && *Value >= 1 ? Value : std::nullopt;
}

result<mono_duration, call_error> timeoutOf(const request_head &Head,
                                            const service_declaration &Service) {
  const std::string_view Text = Head.header(TimeoutHeader);
  if (Text.empty())
    return mono_duration(std::min(Service.DefaultTimeout, Service.MaxTimeout));
  const auto Requested = positiveNumber(Text);
  if (!Requested)
    return invalidField(std::string(TimeoutHeader), "must be milliseconds, a whole number from 1");
  return mono_duration(std::chrono::milliseconds(std::min(*Requested, Service.MaxTimeout.count())));
}

/// The caller may forbid a second run, but cannot allow one that the declaration forbids.
result<bool, call_error> idempotenceOf(const request_head &Head, bool Declared) {
  const std::string_view Text = Head.header(IdempotentHeader);
  if (Text.empty() || Text == "true")
    return Declared;
  if (Text == "false")
    return false;
  return invalidField(std::string(IdempotentHeader), "must be \"true\" or \"false\"");
}

std::vector<std::pair<std::string, std::string>>
selectorHeaders(const request_head &Head, const declaration_index &Declaration) {
  std::vector<std::pair<std::string, std::string>> Headers;
  for (const std::string &Name : Declaration.selectorHeaders())
    if (const std::string_view Value = Head.header(Name); !Value.empty())
      Headers.emplace_back(Name, Value);
  return Headers;
}

/// Plans what all kinds of calls have in common.
result<checked_call, call_error> planCommon(const call_plan &Plan, const request_head &Head,
                                            const service_declaration &Service, bool Idempotent,
                                            mono_time Now) {
  const auto Timeout = timeoutOf(Head, Service);
  if (!succeeded(Timeout))
    return errorOf(Timeout);
  const auto Repeatable = idempotenceOf(Head, Idempotent);
  if (!succeeded(Repeatable))
    return errorOf(Repeatable);
  const std::string_view Key = Head.header(KeyHeader);
  if (Key.size() > MaxIdempotencyKey)
    return invalidField(std::string(KeyHeader), "must not be longer than 255 bytes");
  checked_call Call;
  Call.Kind = Service.Kind;
  Call.Facts.Account = Plan.Account;
  Call.Facts.Service = Service.Name;
  Call.Facts.Headers = selectorHeaders(Head, *Plan.Declaration);
  Call.Facts.Idempotent = valueOf(Repeatable);
  Call.Facts.IdempotencyKey = Key;
  Call.Facts.Arrived = Now;
  Call.Facts.Deadline = Now + valueOf(Timeout);
  return Call;
}

std::string limitText(std::string_view Subject, std::int64_t Limit, std::string_view Unit) {
  return std::string(Subject) + " must not be larger than " + std::to_string(Limit) + " " +
         std::string(Unit);
}

std::optional<call_error> checkSizes(const prompt_facts &Prompt, std::size_t BodyBytes,
                                     tokens Estimated, prompt_form Form,
                                     const service_declaration &Service) {
  if (std::cmp_greater(BodyBytes, Service.MaxBody.value()))
    return refusal(TooLarge, "invalid_request_error", "body_too_large", "body",
                   limitText("The body", Service.MaxBody.value(), "bytes"));
  if (Estimated > Service.MaxPrompt) {
    call_error Error = invalidField(Form == prompt_form::Chat ? "messages" : "prompt",
                                    limitText("The prompt", Service.MaxPrompt.value(), "tokens"));
    Error.Code = "context_length_exceeded";
    return Error;
  }
  if (Prompt.AnswerLimit.value_or(0) > Service.MaxAnswer.value())
    return invalidField("max_tokens", limitText("max_tokens", Service.MaxAnswer.value(), "tokens"));
  return std::nullopt;
}

result<checked_call, call_error> planPrompt(const call_plan &Plan, prompt_form Form,
                                            const request_head &Head, std::string_view Body,
                                            const token_estimator &Tokens, mono_time Now) {
  auto Parsed = readPrompt(Body, Form);
  if (!succeeded(Parsed))
    return invalidField(errorOf(Parsed).Field,
                        errorOf(Parsed).Field + " " + errorOf(Parsed).Message);
  prompt_facts &Prompt = valueOf(Parsed);
  const service_declaration *Service = Plan.Declaration->findModel(Prompt.Model);
  if (!Service)
    return unknownModel(Prompt.Model);
  std::optional<tokens> Hint;
  if (const std::string_view Text = Head.header(TokensHeader); !Text.empty()) {
    const auto HintValue = positiveNumber(Text);
    if (!HintValue)
      return invalidField(std::string(TokensHeader), "must be a whole number from 1");
    Hint = tokens(*HintValue);
  }
  const model_name Model(Prompt.Model);
  const tokens Estimated = Tokens.estimate(Model, Prompt.PromptBytes, Hint);
  if (const auto SizeError = checkSizes(Prompt, Body.size(), Estimated, Form, *Service))
    return *SizeError;
  auto Planned = planCommon(Plan, Head, *Service, true, Now);
  if (!succeeded(Planned))
    return errorOf(Planned);
  checked_call Call = valueOf(std::move(Planned));
  Call.Facts.Model = Model;
  Call.Facts.Prompt = Estimated;
  Call.Facts.AnswerLimit = tokens(Prompt.AnswerLimit.value_or(Service->MaxAnswer.value()));
  Call.Facts.PrefixHashes = std::move(Prompt.PrefixHashes);
  Call.PromptBytes = Prompt.PromptBytes;
  Call.SharedParts = std::move(Prompt.SharedParts);
  return Call;
}

boost::json::object modelObject(const model_name &Model, const service_name &Service) {
  boost::json::object Object;
  Object["id"] = Model.str();
  Object["object"] = "model";
  Object["created"] = 0;
  Object["owned_by"] = Service.str();
  return Object;
}

} // namespace

result<call_plan, call_error> planCall(const request_head &Head, const declaration_view &View) {
  if (Head.Method == "CONNECT" || Head.Method == "TRACE")
    return methodError("another method");
  const auto Key = bearerKey(Head.header("Authorization"));
  const account_declaration *Account = Key ? View->findAccount(keyHash(*Key)) : nullptr;
  if (!Account)
    return undeclared(refusal(Unauthorized, "authentication_error", "invalid_api_key",
                              "Authorization",
                              "must be \"Bearer KEY\" with the key of a client account"));
  call_plan Plan;
  Plan.Declaration = View;
  Plan.Account = Account->Name;
  const std::string_view Path = std::string_view(Head.Target).substr(0, Head.Target.find('?'));
  if (Path == ChatPath)
    return planModelCall(std::move(Plan), Head, prompt_form::Chat);
  if (Path == CompletionPath)
    return planModelCall(std::move(Plan), Head, prompt_form::Completion);
  if (Path == ModelsPath || Path.starts_with(ModelPrefix))
    return planModels(std::move(Plan), Head, Path);
  return planPlain(std::move(Plan), Head);
}

result<checked_call, call_error> planBody(const call_plan &Plan, const request_head &Head,
                                          std::string_view Body, const token_estimator &Tokens,
                                          mono_time Now) {
  if (const auto *Model = std::get_if<model_call>(&Plan.Kind))
    return planPrompt(Plan, Model->Form, Head, Body, Tokens, Now);
  if (std::holds_alternative<header_routed_call>(Plan.Kind))
    return planFromHeaders(Plan, Now);
  const plain_call &Plain = std::get<plain_call>(Plan.Kind);
  return planCommon(Plan, Head, *Plain.Service, Plain.Idempotent, Now);
}

result<std::string, call_error> modelsBody(const models_call &Call,
                                           const fleet_declaration &Declaration) {
  boost::json::array Data;
  for (const service_declaration &Service : Declaration.Services)
    for (const model_name &Model : Service.Models) {
      if (Call.Model == Model.str())
        return boost::json::serialize(modelObject(Model, Service.Name));
      Data.emplace_back(modelObject(Model, Service.Name));
    }
  if (!Call.Model.empty())
    return unknownModel(Call.Model);
  boost::json::object List;
  List["object"] = "list";
  List["data"] = std::move(Data);
  return boost::json::serialize(List);
}

} // namespace pollenstall
