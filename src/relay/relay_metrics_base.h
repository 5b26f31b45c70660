/** @file relay_metrics_base.h Prometheus metrics of the data plane. */
#ifndef POLLENSTALL_RELAY_RELAY_METRICS_BASE_H
#define POLLENSTALL_RELAY_RELAY_METRICS_BASE_H

#include "dispatch/dispatch_type.h"
#include "path/path_type.h"
#include "relay/answer_end_type.h"
#include "relay/call_record_type.h"
#include "scheduling/scheduling_type.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <string>
#include <utility>

namespace pollenstall {

/// Counters are looked up once, so that a count on the token path costs one atomic addition.
class relay_metrics {
public:
  explicit relay_metrics(prometheus::Registry &Registry);

  /// Counts an ended request, including requests refused before they reached a queue.
  void countRequest(final_outcome Outcome, const std::string &Reason);
  void countAttempt() { Attempts.Increment(); }
  /// Counts an ended attempt. @param Result "complete", or the failure in lower snake case.
  void countAttemptEnd(const std::string &Result);
  /// Counts an answer whose end was received, or that broke off.
  void countAnswerEnd(body_framing Framing, answer_end_reason Reason);
  /// Counts a request of this entry for a tunnel. @param Failure Empty if the tunnel was opened.
  void countTunnelOpened(std::optional<tunnel_failure> Failure);
  /// Counts a request of another entry for a tunnel. @param Failure Empty if it was opened.
  void countTunnelCarried(std::optional<tunnel_failure> Failure);
  void countEvents(std::uint64_t Count) { Events.Increment(static_cast<double>(Count)); }
  void countAnswerBytes(std::size_t Count) { AnswerBytes.Increment(static_cast<double>(Count)); }
  /// Counts an attempt that was not sent because of an evacuation.
  void countEvacuated() { Evacuated.Increment(); }
  /// Counts the memory holds of one attempt that were released.
  void countHoldsEnd(hold_end End);
  /// Records for how long engines held memory of which no use was known.
  void observeUnusedHold(double Seconds) { UnusedHolds.Observe(Seconds); }
  /// Sets how many messages of callers have given way for lack of memory or connections.
  void setGaveWay(std::size_t Total);
  void countBadMessage() { BadMessages.Increment(); }
  void observeFirstToken(length_class Class, double Seconds);
  /// Records the longest gap of an answer after its end.
  void observeGap(length_class Class, double Seconds);

  prometheus::Gauge &Connections;    ///< Callers' connections.
  prometheus::Gauge &OpenCalls;      ///< Requests without a final answer.
  prometheus::Gauge &OpenStreams;    ///< Attempts in progress at this entry, streamed or not.
  prometheus::Gauge &BodyBytes;      ///< Of callers' heads and bodies.
  prometheus::Gauge &CallersMemory;  ///< Of callers' connections, heads and bodies.
  prometheus::Gauge &AnswerMemory;   ///< Held in parts of answers that wait for their rest.
  prometheus::Gauge &Detours;        ///< Backend servers whose connections need a tunnel.
  prometheus::Gauge &TunnelsCarried; ///< Connections carried for other entries.

private:
  using request_key = std::pair<final_outcome, std::string>;

  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Counter> &AttemptEnds;
  prometheus::Family<prometheus::Counter> &AnswerEnds;
  prometheus::Family<prometheus::Counter> &TunnelsOpened;
  prometheus::Family<prometheus::Counter> &TunnelRequests;
  prometheus::Family<prometheus::Counter> &HoldEnds;
  prometheus::Family<prometheus::Histogram> &FirstTokens;
  prometheus::Family<prometheus::Histogram> &Gaps;
  prometheus::Counter &Attempts;
  prometheus::Counter &Events;
  prometheus::Counter &AnswerBytes;
  prometheus::Counter &BadMessages;
  prometheus::Counter &GaveWay;
  prometheus::Counter &Evacuated;
  prometheus::Histogram &UnusedHolds;
  std::array<prometheus::Histogram *, 3> FirstTokenByClass{};
  std::array<prometheus::Histogram *, 3> GapByClass{};
  std::map<request_key, prometheus::Counter *> RequestByKey;
  std::map<std::string, prometheus::Counter *> AttemptByResult;
  std::map<std::pair<body_framing, answer_end_reason>, prometheus::Counter *> AnswerByEnd;
};

/// Returns the lower-snake-case name.
std::string_view holdEndText(hold_end End);

/// Returns "short", "medium" or "long".
std::string lengthClassText(length_class Class);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RELAY_METRICS_BASE_H
