/** @file relay_metrics.cpp Names and buckets of the data plane's metrics. */
#include "relay/relay_metrics_base.h"

#include "relay/answer_end_func.h"
#include "relay/call_error_func.h"

namespace pollenstall {

namespace {

template <typename Builder>
auto &familyOf(Builder Build, const char *Name, const char *Help, prometheus::Registry &Registry) {
  return Build().Name(Name).Help(Help).Register(Registry);
}

prometheus::Gauge &gauge(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return familyOf(prometheus::BuildGauge, Name, Help, Registry).Add({});
}

prometheus::Counter &counter(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return familyOf(prometheus::BuildCounter, Name, Help, Registry).Add({});
}

prometheus::Histogram::BucketBoundaries latencyBuckets() {
  return {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300};
}

std::string_view tunnelResultText(std::optional<tunnel_failure> Failure) {
  if (!Failure)
    return "opened";
  switch (*Failure) {
  case tunnel_failure::PeerUnreachable:
    return "peer_unreachable";
  case tunnel_failure::NoDirectPath:
    return "no_direct_path";
  case tunnel_failure::ServerSilent:
    return "server_silent";
  case tunnel_failure::Busy:
    return "busy";
  case tunnel_failure::Forbidden:
    return "forbidden";
  default:
    return "server_down";
  }
}

} // namespace

std::string_view holdEndText(hold_end End) {
  switch (End) {
  case hold_end::NotAcquired:
    return "not_acquired";
  case hold_end::Unused:
    return "unused";
  case hold_end::ServerSilent:
    return "server_silent";
  default:
    return "attempt_ended";
  }
}

std::string lengthClassText(length_class Class) {
  switch (Class) {
  case length_class::Short:
    return "short";
  case length_class::Medium:
    return "medium";
  default:
    return "long";
  }
}

relay_metrics::relay_metrics(prometheus::Registry &Registry)
    : Connections(
          gauge(Registry, "pollenstall_caller_connections", "Open connections from callers")),
      OpenCalls(gauge(Registry, "pollenstall_open_requests", "Requests without a final answer")),
      OpenStreams(
          gauge(Registry, "pollenstall_open_streams", "Attempts in progress, streamed or not")),
      BodyBytes(
          gauge(Registry, "pollenstall_body_bytes", "Bytes of requests' heads and bodies held")),
      CallersMemory(gauge(Registry, "pollenstall_callers_memory_bytes",
                          "Memory of callers' connections, heads and bodies")),
      AnswerMemory(gauge(Registry, "pollenstall_answer_memory_bytes",
                         "Bytes of answers that wait for their rest")),
      Detours(gauge(Registry, "pollenstall_backends_through_peers",
                    "Backend servers that this entry reaches through other entries only")),
      TunnelsCarried(
          gauge(Registry, "pollenstall_tunnels_carried", "Connections carried for other entries")),
      Requests(familyOf(prometheus::BuildCounter, "pollenstall_requests_total",
                        "Requests by outcome and reason", Registry)),
      AttemptEnds(familyOf(prometheus::BuildCounter, "pollenstall_attempt_ends_total",
                           "Ends of attempts by result", Registry)),
      AnswerEnds(familyOf(prometheus::BuildCounter, "pollenstall_answer_ends_total",
                          "Ends of backend servers' answers by framing and reason", Registry)),
      TunnelsOpened(familyOf(prometheus::BuildCounter, "pollenstall_tunnels_opened_total",
                             "Requests to other entries for a connection, by result", Registry)),
      TunnelRequests(familyOf(prometheus::BuildCounter, "pollenstall_tunnel_requests_total",
                              "Requests of other entries for a connection, by result", Registry)),
      HoldEnds(familyOf(prometheus::BuildCounter, "pollenstall_memory_holds_total",
                        "Attempts whose memory at other engines was released, by reason",
                        Registry)),
      FirstTokens(familyOf(prometheus::BuildHistogram, "pollenstall_first_token_seconds",
                           "Time from arrival to the first byte of the answer, by length class",
                           Registry)),
      Gaps(familyOf(prometheus::BuildHistogram, "pollenstall_longest_gap_seconds",
                    "Longest time between two events of an answer, by length class", Registry)),
      Attempts(counter(Registry, "pollenstall_attempts_total", "Attempts started")),
      Events(counter(Registry, "pollenstall_relayed_events_total", "Token events relayed")),
      AnswerBytes(counter(Registry, "pollenstall_answer_bytes_total", "Bytes of answers relayed")),
      BadMessages(counter(Registry, "pollenstall_refused_messages_total",
                          "Callers' messages that were not valid HTTP")),
      GaveWay(counter(Registry, "pollenstall_callers_gave_way_total",
                      "Callers' messages and connections without progress that were ended for "
                      "lack of memory or connections")),
      Evacuated(familyOf(prometheus::BuildCounter, "pollenstall_evacuation_abandoned_total",
                         "Placements given up because a server's failure domain is evacuated",
                         Registry)
                    .Add({{"stage", "placed"}})),
      UnusedHolds(familyOf(prometheus::BuildHistogram, "pollenstall_unused_hold_seconds",
                           "Time for which engines held memory at the end without a known use",
                           Registry)
                      .Add({}, latencyBuckets())) {
  for (const length_class Class : {length_class::Short, length_class::Medium, length_class::Long}) {
    const auto Index = static_cast<std::size_t>(Class);
    const prometheus::Labels Labels{{"class", lengthClassText(Class)}};
    FirstTokenByClass[Index] = &FirstTokens.Add(Labels, latencyBuckets());
    GapByClass[Index] = &Gaps.Add(Labels, latencyBuckets());
  }
}

void relay_metrics::countRequest(final_outcome Outcome, const std::string &Reason) {
  prometheus::Counter *&Metric = RequestByKey[{Outcome, Reason}];
  if (Metric == nullptr)
    Metric = &Requests.Add({{"outcome", std::string(outcomeText(Outcome))}, {"reason", Reason}});
  Metric->Increment();
}

void relay_metrics::countAttemptEnd(const std::string &Result) {
  prometheus::Counter *&Metric = AttemptByResult[Result];
  if (Metric == nullptr)
    Metric = &AttemptEnds.Add({{"result", Result}});
  Metric->Increment();
}

void relay_metrics::countAnswerEnd(body_framing Framing, answer_end_reason Reason) {
  prometheus::Counter *&Metric = AnswerByEnd[{Framing, Reason}];
  if (Metric == nullptr)
    Metric = &AnswerEnds.Add({{"framing", std::string(bodyFramingText(Framing))},
                              {"reason", std::string(answerEndReasonText(Reason))}});
  Metric->Increment();
}

void relay_metrics::setGaveWay(std::size_t Total) {
  GaveWay.Increment(static_cast<double>(Total) - GaveWay.Value());
}

void relay_metrics::countHoldsEnd(hold_end End) {
  HoldEnds.Add({{"reason", std::string(holdEndText(End))}}).Increment();
}

void relay_metrics::countTunnelOpened(std::optional<tunnel_failure> Failure) {
  TunnelsOpened.Add({{"result", std::string(tunnelResultText(Failure))}}).Increment();
}

void relay_metrics::countTunnelCarried(std::optional<tunnel_failure> Failure) {
  TunnelRequests.Add({{"result", std::string(tunnelResultText(Failure))}}).Increment();
}

void relay_metrics::observeGap(length_class Class, double Seconds) {
  GapByClass[static_cast<std::size_t>(Class)]->Observe(Seconds);
}

void relay_metrics::observeFirstToken(length_class Class, double Seconds) {
  FirstTokenByClass[static_cast<std::size_t>(Class)]->Observe(Seconds);
}

} // namespace pollenstall
