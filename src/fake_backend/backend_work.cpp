/** @file backend_work.cpp Handles model calls and plain calls. */
#include "fake_backend/answer_stream_base.h"

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <csignal>
#include <utility>

namespace pollenstall {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view AttemptHeader = "X-Pollenstall-Attempt";
constexpr std::string_view LeavingHeader = "X-Pollenstall-Leaving";
constexpr std::string_view StartedHeader = "X-Pollenstall-Started";
constexpr std::size_t MaxEchoedBodyBytes = 4096;
constexpr std::size_t MaxCountedKeys = 200'000; ///< Bounds the memory use of long runs.

std::string headerValue(const backend_request &Request, std::string_view Name) {
  const auto Found = Request.find(Name);
  return Found == Request.end() ? std::string() : std::string(Found->value());
}

std::int64_t parseInteger(const std::string &Text) {
  std::int64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

std::string sha256Hex(const std::string &Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Size = 0;
  EVP_Digest(Text.data(), Text.size(), Digest.data(), &Size, EVP_sha256(), nullptr);
  std::string Hex;
  for (unsigned int Index = 0; Index < Size; ++Index) {
    Hex += Digits[Digest[Index] >> 4U];
    Hex += Digits[Digest[Index] & 0xFU];
  }
  return Hex;
}

std::string plainEcho(const backend_request &Request) {
  boost::json::object Headers;
  for (const auto &Field : Request)
    Headers[std::string_view(Field.name_string().data(), Field.name_string().size())] =
        std::string_view(Field.value().data(), Field.value().size());
  boost::json::object Echo{
      {"method", std::string_view(Request.method_string().data(), Request.method_string().size())},
      {"path", std::string_view(Request.target().data(), Request.target().size())},
      {"headers", Headers},
      {"body_bytes", Request.body().size()},
      {"body_sha256", sha256Hex(Request.body())}};
  if (Request.body().size() <= MaxEchoedBodyBytes)
    Echo["body"] = Request.body();
  return boost::json::serialize(Echo);
}

backend_response submitErrorResponse(submit_error Error) {
  if (Error == submit_error::DuplicateAttempt)
    return errorResponse(http::status::conflict, "attempt_known", "the attempt already exists",
                         false);
  return errorResponse(http::status::bad_request, "context_length_exceeded",
                       "prompt and answer exceed the engine's memory", true);
}

} // namespace

backend_response jsonResponse(http::status Status, const boost::json::object &Body) {
  backend_response Response(Status, 11);
  Response.set(http::field::content_type, "application/json");
  Response.body() = boost::json::serialize(Body);
  return Response;
}

backend_response errorResponse(http::status Status, std::string_view Code, std::string_view Message,
                               bool NotStarted) {
  const bool IsClientError = http::to_status_class(Status) == http::status_class::client_error;
  backend_response Response =
      jsonResponse(Status, {{"error",
                             {{"message", Message},
                              {"type", IsClientError ? "invalid_request_error" : "server_error"},
                              {"code", Code}}}});
  if (NotStarted)
    Response.set(StartedHeader, "no");
  return Response;
}

void backend_server::handle(const session_ptr &Session, backend_request &&Request) {
  if (handleCall(Session, Request))
    return;
  if (Settings.Kind == "plain")
    handlePlain(Session, Request);
  else
    handleModelCall(Session, Request);
}

std::string backend_server::attemptFromRequest(const backend_request &Request) {
  const std::string HeaderAttempt = headerValue(Request, AttemptHeader);
  return HeaderAttempt.empty() ? "direct/0/" + std::to_string(++DirectAttempts) + "/1"
                               : HeaderAttempt;
}

std::string backend_server::attemptToEcho(const std::string &Attempt) {
  return consumeFault(Faults.WrongAttemptNext) ? Attempt + "-crossed" : Attempt;
}

void backend_server::countStart(const backend_request &Request, const std::string &Attempt) {
  ++Starts;
  if (StartsByAttempt.size() < MaxCountedKeys)
    ++StartsByAttempt[Attempt];
  const std::string Key = headerValue(Request, "Idempotency-Key");
  if (!Key.empty() && StartsByKey.size() < MaxCountedKeys)
    ++StartsByKey[Key];
}

bool backend_server::declineIfRequired(const session_ptr &Session, const backend_request &Request) {
  if (!Leaving && !consumeFault(Faults.DeclineNext))
    return false;
  ++Declined;
  auto Response =
      errorResponse(http::status::service_unavailable, Leaving ? "leaving" : "overloaded",
                    "the backend server declined the request", true);
  if (const std::string Attempt = headerValue(Request, AttemptHeader); !Attempt.empty())
    Response.set(AttemptHeader, attemptToEcho(Attempt));
  if (Leaving)
    Response.set(LeavingHeader, "1");
  else if (Faults.PauseSeconds > 0)
    Response.set(http::field::retry_after, std::to_string(Faults.PauseSeconds));
  Session->reply(std::move(Response));
  return true;
}

bool backend_server::replyInjectedError(const session_ptr &Session, const std::string &Attempt) {
  if (!consumeFault(Faults.ErrorNext))
    return false;
  auto Response = errorResponse(http::status::internal_server_error, "internal",
                                "the request failed after it was started", false);
  Response.set(AttemptHeader, attemptToEcho(Attempt));
  Session->reply(std::move(Response));
  return true;
}

void backend_server::handleModelCall(const session_ptr &Session, const backend_request &Request) {
  const bool Chat = Request.target() == "/v1/chat/completions";
  if (!Chat && Request.target() != "/v1/completions") {
    Session->reply(errorResponse(http::status::not_found, "not_found", "unknown path", true));
    return;
  }
  if (declineIfRequired(Session, Request))
    return;
  auto Scanned = scanModelCall(Request.body(), Settings.BlockTokens);
  if (!succeeded(Scanned)) {
    Session->reply(
        errorResponse(http::status::bad_request, "invalid_body", errorOf(Scanned).Message, true));
    return;
  }
  model_call &Call = valueOf(Scanned);
  const auto &Models = OrderExecutor.models();
  if (std::find(Models.begin(), Models.end(), Call.Model) == Models.end()) {
    Session->reply(errorResponse(http::status::not_found, "model_not_found",
                                 "model " + Call.Model + " is not loaded", true));
    return;
  }
  const bool Stream = Call.Stream;
  const job_ptr Job = createJob(Request, std::move(Call));
  const auto Submitted = Engine.submit(Job);
  if (!succeeded(Submitted)) {
    Session->reply(submitErrorResponse(errorOf(Submitted)));
    return;
  }
  countStart(Request, Job->Attempt);
  if (!Faults.DieOnPrompt.empty() && Request.body().find(Faults.DieOnPrompt) != std::string::npos)
    std::raise(SIGKILL);
  if (replyInjectedError(Session, Job->Attempt)) {
    Engine.cancel(Job->Attempt, boot_clock::now());
    return;
  }
  answerJob(Session, Job, Stream);
  stepEngine();
}

job_ptr backend_server::createJob(const backend_request &Request, model_call &&Call) {
  auto Job = std::make_shared<engine_job>();
  Job->Attempt = attemptFromRequest(Request);
  Job->Priority = parseInteger(headerValue(Request, "X-Pollenstall-Priority"));
  Job->Answer.Api = Request.target() == "/v1/chat/completions" ? completion_api::Chat
                                                               : completion_api::Completion;
  Job->Answer.PromptHash = Call.PromptHash;
  Job->Answer.PromptTokens = Call.PromptTokens;
  Job->Answer.AnswerTokens = Call.AnswerTokens > 0 ? Call.AnswerTokens : Settings.AnswerTokens;
  Job->Answer.Model = std::move(Call.Model);
  Job->Answer.CreatedUnixS = ProcessIncarnation / 1'000'000'000;
  Job->BlockHashes = std::move(Call.BlockHashes);
  return Job;
}

void backend_server::answerJob(const session_ptr &Session, const job_ptr &Job, bool Stream) {
  const std::string Echo = attemptToEcho(Job->Attempt);
  const std::uint64_t Reader = engine::attachReader(*Job, {});
  Session->setDisconnectHandler(
      [this, Job, Reader] { Engine.detachReader(Job, Reader, boot_clock::now()); });
  Session->runAfter(std::chrono::milliseconds(Faults.LateMs), [this, Session, Job, Echo, Stream] {
    if (Stream)
      std::make_shared<answer_stream>(*this, Session, Job, 1)->start(Echo);
    else
      answerUnstreamed(Session, Job, Echo);
  });
}

void backend_server::answerUnstreamed(const session_ptr &Session, const job_ptr &Job,
                                      const std::string &Echo) {
  ++OpenAnswers;
  const auto SendIfFinished = [this, Session, Job, Echo] {
    if (Job->State == job_state::Cancelled)
      Session->close();
    if (Job->State != job_state::Finished || Session->writing() || Session->closed())
      return;
    backend_response Response(http::status::ok, 11);
    Response.set(http::field::content_type, "application/json");
    Response.set(AttemptHeader, Echo);
    Response.body() = answerBody(Job->Answer);
    sendUnstreamed(Session, std::move(Response), [this, Job] {
      Job->Delivered = true;
      Job->OnProgress = nullptr;
      --OpenAnswers;
    });
  };
  const std::uint64_t Reader = engine::attachReader(*Job, SendIfFinished);
  Session->setDisconnectHandler([this, Job, Reader] {
    --OpenAnswers;
    Engine.detachReader(Job, Reader, boot_clock::now());
  });
  SendIfFinished();
}

void backend_server::sendUnstreamed(const session_ptr &Session, backend_response &&Response,
                                    const session::callback &OnComplete) {
  if (consumeFault(Faults.HalfAnswerNext))
    Session->replyTruncated(std::move(Response));
  else
    Session->reply(std::move(Response), OnComplete);
}

void backend_server::handlePlain(const session_ptr &Session, const backend_request &Request) {
  if (declineIfRequired(Session, Request))
    return;
  const std::string Attempt = attemptFromRequest(Request);
  countStart(Request, Attempt);
  if (replyInjectedError(Session, Attempt))
    return;
  ++OpenAnswers;
  ++PlainRunning;
  backend_response Response(http::status::ok, 11);
  Response.set(http::field::content_type, "application/json");
  Response.set(AttemptHeader, attemptToEcho(Attempt));
  if (Request.method() != http::verb::head)
    Response.body() = plainEcho(Request);
  const auto OnFinished = [this] {
    --OpenAnswers;
    --PlainRunning;
  };
  Session->setDisconnectHandler(OnFinished);
  Session->runAfter(Settings.PlainDelay + std::chrono::milliseconds(Faults.LateMs),
                    [this, Session, OnFinished, Response = std::move(Response)]() mutable {
                      sendUnstreamed(Session, std::move(Response), OnFinished);
                    });
}

} // namespace pollenstall
