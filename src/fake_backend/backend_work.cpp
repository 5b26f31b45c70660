/** @file backend_work.cpp Model calls and plain calls. */
#include "fake_backend/stream_answer_base.h"

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <csignal>
#include <utility>

namespace pollenstall {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view AttemptHeader = "X-Pollenstall-Attempt";
constexpr std::string_view StartedHeader = "X-Pollenstall-Started";
constexpr std::size_t EchoedBodyBytes = 4096;
constexpr std::size_t CountedKeys = 200'000; ///< Bounds the memory of a long run.

std::string headerOf(const backend_request &Request, std::string_view Name) {
  const auto Found = Request.find(Name);
  return Found == Request.end() ? std::string() : std::string(Found->value());
}

std::int64_t numberOf(const std::string &Text) {
  std::int64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

std::string sha256Of(const std::string &Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Size = 0;
  EVP_Digest(Text.data(), Text.size(), Digest.data(), &Size, EVP_sha256(), nullptr);
  std::string Hex;
  for (unsigned int Place = 0; Place < Size; ++Place) {
    Hex += Digits[Digest[Place] >> 4U];
    Hex += Digits[Digest[Place] & 0xFU];
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
      {"body_sha256", sha256Of(Request.body())}};
  if (Request.body().size() <= EchoedBodyBytes)
    Echo["body"] = Request.body();
  return boost::json::serialize(Echo);
}

backend_response refusalOf(submit_error Error) {
  if (Error == submit_error::AttemptKnown)
    return errorResponse(http::status::conflict, "attempt_known", "the attempt is known", false);
  return errorResponse(http::status::bad_request, "context_length_exceeded",
                       "prompt and answer are over the engine's memory", true);
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
  const bool Caller = http::to_status_class(Status) == http::status_class::client_error;
  backend_response Response =
      jsonResponse(Status, {{"error",
                             {{"message", Message},
                              {"type", Caller ? "invalid_request_error" : "server_error"},
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

std::string backend_server::attemptOf(const backend_request &Request) {
  const std::string Given = headerOf(Request, AttemptHeader);
  return Given.empty() ? "direct/0/" + std::to_string(++DirectAttempts) + "/1" : Given;
}

std::string backend_server::echoOf(const std::string &Attempt) {
  return strikes(Faults.WrongAttemptNext) ? Attempt + "-crossed" : Attempt;
}

void backend_server::countStart(const backend_request &Request, const std::string &Attempt) {
  ++Starts;
  if (StartsByAttempt.size() < CountedKeys)
    ++StartsByAttempt[Attempt];
  const std::string Key = headerOf(Request, "Idempotency-Key");
  if (!Key.empty() && StartsByKey.size() < CountedKeys)
    ++StartsByKey[Key];
}

bool backend_server::declines(const session_ptr &Session, const backend_request &Request) {
  if (!Leaving && !strikes(Faults.DeclineNext))
    return false;
  ++Declined;
  auto Response = errorResponse(http::status::service_unavailable,
                                Leaving ? "leaving" : "overloaded", "not taken", true);
  if (const std::string Attempt = headerOf(Request, AttemptHeader); !Attempt.empty())
    Response.set(AttemptHeader, echoOf(Attempt));
  Session->reply(std::move(Response));
  return true;
}

bool backend_server::failsStarted(const session_ptr &Session, const std::string &Attempt) {
  if (!strikes(Faults.ErrorNext))
    return false;
  auto Response =
      errorResponse(http::status::internal_server_error, "internal", "failed while running", false);
  Response.set(AttemptHeader, echoOf(Attempt));
  Session->reply(std::move(Response));
  return true;
}

void backend_server::handleModelCall(const session_ptr &Session, const backend_request &Request) {
  const bool Chat = Request.target() == "/v1/chat/completions";
  if (!Chat && Request.target() != "/v1/completions") {
    Session->reply(errorResponse(http::status::not_found, "not_found", "no such path", true));
    return;
  }
  if (declines(Session, Request))
    return;
  auto Scanned = scanModelCall(Request.body(), Settings.BlockTokens);
  if (!succeeded(Scanned)) {
    Session->reply(
        errorResponse(http::status::bad_request, "invalid_body", errorOf(Scanned).Message, true));
    return;
  }
  model_call &Call = valueOf(Scanned);
  const auto &Models = Orders.models();
  if (std::find(Models.begin(), Models.end(), Call.Model) == Models.end()) {
    Session->reply(errorResponse(http::status::not_found, "model_not_found",
                                 "model " + Call.Model + " is not loaded", true));
    return;
  }
  const bool Stream = Call.Stream;
  const job_ptr Job = jobOf(Request, std::move(Call));
  const auto Submitted = Engine.submit(Job);
  if (!succeeded(Submitted)) {
    Session->reply(refusalOf(errorOf(Submitted)));
    return;
  }
  countStart(Request, Job->Attempt);
  if (!Faults.DieOnPrompt.empty() && Request.body().find(Faults.DieOnPrompt) != std::string::npos)
    std::raise(SIGKILL);
  if (failsStarted(Session, Job->Attempt)) {
    Engine.cancel(Job->Attempt, boot_clock::now());
    return;
  }
  answerJob(Session, Job, Stream);
  stepEngine();
}

job_ptr backend_server::jobOf(const backend_request &Request, model_call &&Call) {
  auto Job = std::make_shared<engine_job>();
  Job->Attempt = attemptOf(Request);
  Job->Priority = numberOf(headerOf(Request, "X-Pollenstall-Priority"));
  Job->Answer.Shape =
      Request.target() == "/v1/chat/completions" ? answer_shape::Chat : answer_shape::Completion;
  Job->Answer.PromptHash = Call.PromptHash;
  Job->Answer.PromptTokens = Call.PromptTokens;
  Job->Answer.AnswerTokens = Call.AnswerTokens > 0 ? Call.AnswerTokens : Settings.AnswerTokens;
  Job->Answer.Model = std::move(Call.Model);
  Job->Answer.CreatedUnixS = OwnIncarnation / 1'000'000'000;
  Job->BlockHashes = std::move(Call.BlockHashes);
  return Job;
}

void backend_server::answerJob(const session_ptr &Session, const job_ptr &Job, bool Stream) {
  const std::string Echo = echoOf(Job->Attempt);
  const std::uint64_t Reader = engine::attach(*Job, {});
  Session->onBroken([this, Job, Reader] { Engine.detach(Job, Reader, boot_clock::now()); });
  Session->after(std::chrono::milliseconds(Faults.LateMs), [this, Session, Job, Echo, Stream] {
    if (Stream)
      std::make_shared<stream_answer>(*this, Session, Job, 1)->start(Echo);
    else
      answerWhole(Session, Job, Echo);
  });
}

void backend_server::answerWhole(const session_ptr &Session, const job_ptr &Job,
                                 const std::string &Echo) {
  ++OpenAnswers;
  const auto Answer = [this, Session, Job, Echo] {
    if (Job->State == job_state::Cancelled)
      Session->close();
    if (Job->State != job_state::Finished || Session->writing() || Session->closed())
      return;
    backend_response Response(http::status::ok, 11);
    Response.set(http::field::content_type, "application/json");
    Response.set(AttemptHeader, Echo);
    Response.body() = wholeAnswer(Job->Answer);
    sendWhole(Session, std::move(Response), [this, Job] {
      Job->Delivered = true;
      Job->OnProgress = nullptr;
      --OpenAnswers;
    });
  };
  const std::uint64_t Reader = engine::attach(*Job, Answer);
  Session->onBroken([this, Job, Reader] {
    --OpenAnswers;
    Engine.detach(Job, Reader, boot_clock::now());
  });
  Answer();
}

void backend_server::sendWhole(const session_ptr &Session, backend_response &&Response,
                               const session::plain_hook &Then) {
  if (strikes(Faults.HalfAnswerNext))
    Session->replyHalf(std::move(Response));
  else
    Session->reply(std::move(Response), Then);
}

void backend_server::handlePlain(const session_ptr &Session, const backend_request &Request) {
  if (declines(Session, Request))
    return;
  const std::string Attempt = attemptOf(Request);
  countStart(Request, Attempt);
  if (failsStarted(Session, Attempt))
    return;
  ++OpenAnswers;
  ++PlainRunning;
  backend_response Response(http::status::ok, 11);
  Response.set(http::field::content_type, "application/json");
  Response.set(AttemptHeader, echoOf(Attempt));
  if (Request.method() != http::verb::head)
    Response.body() = plainEcho(Request);
  const auto Over = [this] {
    --OpenAnswers;
    --PlainRunning;
  };
  Session->onBroken(Over);
  Session->after(Settings.PlainDelay + std::chrono::milliseconds(Faults.LateMs),
                 [this, Session, Over, Response = std::move(Response)]() mutable {
                   sendWhole(Session, std::move(Response), Over);
                 });
}

} // namespace pollenstall
