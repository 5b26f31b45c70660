/** @file request_mark_test.cpp What makes two requests the same. */
#include "relay/request_mark_func.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

struct request_marks : testing::Test {
  struct sent_request {
    std::string Account{"acme"};
    std::string Service{"llm"};
    std::string Host{"entry-1:80"};
    std::string Target{"/v1/completions"};
    std::string Body{"a prompt"};
  };

  relayed_call callOf(const sent_request &Sent) {
    planned_call Planned;
    Planned.Facts.Account = client_account_name(Sent.Account);
    Planned.Facts.Service = service_name(Sent.Service);
    relayed_call Call(Io, std::move(Planned), nullptr);
    Call.Request.Method = "POST";
    Call.Request.Host = Sent.Host;
    Call.Request.Target = Sent.Target;
    Call.Request.Body = std::make_shared<const held_body>(
        held_body{Sent.Body, body_share(BodyBytes, Sent.Body.size())});
    return Call;
  }
  request_fingerprint markOf(const sent_request &Sent) {
    const relayed_call Call = callOf(Sent);
    return requestMark(Call, *Call.Request.Body);
  }

  boost::asio::io_context Io;
  std::size_t BodyBytes{0};
  const request_fingerprint Usual = markOf({});
};

// Guards against one request that counts as several since callers use the entries' addresses.
TEST_F(request_marks, AreTheSameAtEveryEntry) { EXPECT_EQ(markOf({.Host = "entry-2:80"}), Usual); }

// Guards against a request that is refused for what another one, or another account's, has done.
TEST_F(request_marks, DifferWhereTheRequestDoes) {
  EXPECT_NE(markOf({.Account = "other"}), Usual);
  EXPECT_NE(markOf({.Service = "other"}), Usual);
  EXPECT_NE(markOf({.Target = "/v1/completions?n=2"}), Usual);
  EXPECT_NE(markOf({.Body = "a promp!"}), Usual);
  EXPECT_NE(markOf({.Account = "acmel", .Service = "lm"}), Usual);
}

TEST_F(request_marks, AreLookedUpWithoutABodyOfAnotherShape) {
  const suspect_list List({{Usual, std::chrono::milliseconds(1)}}, mono_time{});
  EXPECT_EQ(markIfSuspected(List, callOf({})), Usual);
  EXPECT_FALSE(markIfSuspected(List, callOf({.Body = "a promp!"})));
  EXPECT_FALSE(markIfSuspected(List, callOf({.Body = "longer prompt"})));
  EXPECT_FALSE(markIfSuspected(suspect_list(), callOf({})));
}

} // namespace
} // namespace pollenstall
