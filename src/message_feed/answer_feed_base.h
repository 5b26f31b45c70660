/** @file answer_feed_base.h Reads the final answer to one request. */
#ifndef POLLENSTALL_MESSAGE_FEED_ANSWER_FEED_BASE_H
#define POLLENSTALL_MESSAGE_FEED_ANSWER_FEED_BASE_H

#include "message_feed/message_feed_base.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// Whether an answer can have a body, which its request decides.
enum class answer_body : std::uint8_t {
  AsStated, ///< As the head states.
  None,     ///< The request was HEAD or CONNECT.
};

/**
 * Skips the interim (1xx) answers before the final one, which a server may send unasked (RFC 9110,
 * section 15.2). A change of protocols is refused: no request of this system asks for one.
 */
class answer_feed {
public:
  using parser = message_feed<false>::parser;

  /// @param PendingLimit As for message_feed.
  explicit answer_feed(std::size_t PendingLimit, answer_body ExpectedBody = answer_body::AsStated)
      : Limit(PendingLimit), Body(ExpectedBody) {
    expectHead();
  }

  /// Parses bytes; body bytes are appended to body(). @return False if the bytes are no valid
  /// answer.
  bool feed(std::string_view Bytes) {
    std::string Rest;
    while (!HeadDone) {
      if (!Folds.scan(Bytes) || !Message->feed(Bytes))
        return false;
      if (!Message->headDone())
        return true;
      if (!isHeadValid())
        return false;
      HeadDone = status() >= FirstFinalStatus;
      if (HeadDone)
        return true;
      if (++InterimAnswers > MaxInterimAnswers)
        return false;
      Rest = Message->takeRemainder();
      Bytes = Rest;
      expectHead();
    }
    return Message->feed(Bytes);
  }

  /// Handles the end of the connection. @return Whether the final answer is complete.
  bool finish() { return Message->finish(); }

  /// Returns whether the head of the final answer has arrived.
  [[nodiscard]] bool headDone() const { return HeadDone; }
  [[nodiscard]] bool done() const { return Message->done(); }
  [[nodiscard]] std::string &body() { return Message->body(); }
  [[nodiscard]] parser &message() { return Message->message(); }
  /// Returns whether there are bytes after the answer.
  [[nodiscard]] bool hasRemainder() const { return Message->hasRemainder(); }

private:
  static constexpr unsigned FirstStatus = 100;
  static constexpr unsigned SwitchingProtocols = 101;
  static constexpr unsigned FirstFinalStatus = 200;
  static constexpr unsigned LastStatus = 599;             ///< RFC 9110, section 15.
  static constexpr unsigned FirstVersionWithCodings = 11; ///< HTTP/1.1
  /// Servers send one or two; more would only keep the request waiting.
  static constexpr std::size_t MaxInterimAnswers = 100;

  [[nodiscard]] unsigned status() { return Message->message().get().result_int(); }

  [[nodiscard]] bool isHeadValid() {
    const bool IsStatus = status() >= FirstStatus && status() <= LastStatus;
    return IsStatus && status() != SwitchingProtocols && isCodingKnown();
  }

  /// Returns whether the body has no transfer coding or is chunked, which is what the parser
  /// decodes. It passes on a body in another coding as it is, or takes it for chunked only.
  [[nodiscard]] bool isCodingKnown() {
    namespace http = boost::beast::http;
    const auto &Head = Message->message().get();
    const std::size_t Codings = Head.count(http::field::transfer_encoding);
    if (Codings == 0)
      return true;
    return Codings == 1 && Head.version() >= FirstVersionWithCodings &&
           boost::beast::iequals(Head[http::field::transfer_encoding], "chunked");
  }

  void expectHead() {
    Folds = {};
    Message.emplace(Limit);
    // The parser takes this before the first byte only.
    Message->message().skip(Body == answer_body::None);
  }

  std::size_t Limit;
  answer_body Body;
  bool HeadDone{false}; ///< That of the final answer.
  std::size_t InterimAnswers{0};
  folded_line_scan Folds;
  std::optional<message_feed<false>> Message; ///< Replaced after each interim answer.
};

} // namespace pollenstall

#endif // POLLENSTALL_MESSAGE_FEED_ANSWER_FEED_BASE_H
