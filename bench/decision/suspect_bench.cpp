/** @file suspect_bench.cpp What suspects cost each request, and what the control hosts keep. */
#include "suspect_bench_func.h"

#include "measure_func.h"
#include "relay/request_fingerprint_func.h"
#include "suspect/suspect.h"

#include <boost/asio/io_context.hpp>

#include <cstdio>
#include <memory>
#include <optional>
#include <string>

namespace pollenstall::bench {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Requests = 20'000;
constexpr std::size_t ShortBody = 20'000; ///< Bytes of 5,000 tokens.

class sample_call {
public:
  explicit sample_call(std::size_t Bytes) : Call(Io, planned(), nullptr) {
    Call.Request.Method = "POST";
    Call.Request.Target = "/v1/chat/completions";
    Call.Request.Body = std::make_shared<const request_body>(
        request_body{std::string(Bytes, 'x'), body_reservation(Held, Bytes)});
  }
  [[nodiscard]] const relayed_call &call() const { return Call; }

private:
  static planned_call planned() {
    planned_call Planned;
    Planned.Facts.Account = client_account_name("account-17");
    Planned.Facts.Service = service_name("llm");
    return Planned;
  }

  boost::asio::io_context Io;
  std::size_t Held{0};
  relayed_call Call;
};

suspect_list listOf(std::size_t Count) {
  std::vector<published_suspect> Told;
  for (std::size_t Number = 0; Number < Count; ++Number)
    Told.push_back({{Number, combineHashes(Number, 1), Number, Number}, milliseconds(1'000)});
  return {Told, mono_time{}};
}

void measureLookUp(std::size_t Count) {
  const sample_call Sample(ShortBody);
  const suspect_list List = listOf(Count);
  std::size_t Found = 0;
  const double Us = cpuOfCall(
      Requests, [&] { Found += fingerprintIfSuspected(List, Sample.call()).has_value() ? 1 : 0; });
  std::printf("{\"bench\":\"suspects\",\"suspects\":%zu,\"found\":%zu,\"ns_per_request\":%.1f}\n",
              Count, Found, Us * 1e3);
}

void measureMark(std::size_t Bytes) {
  const sample_call Sample(Bytes);
  std::uint64_t Sum = 0;
  const double Us = cpuOfCall(
      20, [&] { Sum += requestFingerprint(Sample.call(), *Sample.call().Request.Body).High; });
  std::printf("{\"bench\":\"request_mark\",\"body_bytes\":%zu,\"cpu_us\":%.1f,\"sum\":%llu}\n",
              Bytes, Us, static_cast<unsigned long long>(Sum));
}

void measureTable() {
  const suspect_tuning Tuning;
  const double Before = heapBytes();
  std::optional<suspect_table> Table(Tuning);
  for (std::uint64_t Number = 0; Number < Tuning.MaxRecords; ++Number)
    Table->recordCrash({{Number, Number, Number, Number}}, incarnation(Number),
                       milliseconds(Number));
  const double Bytes = heapBytes() - Before;
  std::uint64_t Next = Tuning.MaxRecords;
  const double Us = cpuOfCall(50, [&] {
    ++Next;
    Table->recordCrash({{Next, Next, Next, Next}}, incarnation(Next), milliseconds(Next));
  });
  std::printf("{\"bench\":\"suspect_table\",\"records\":%zu,\"memory_kb\":%.0f,"
              "\"cpu_us_per_crash\":%.1f}\n",
              Tuning.MaxRecords, Bytes / 1024, Us);
}

} // namespace

void measureSuspects() {
  for (const std::size_t Count : {0UL, 1UL, 1'000UL})
    measureLookUp(Count);
  for (const std::size_t Bytes : {ShortBody, 4'000'000UL})
    measureMark(Bytes);
  measureTable();
}

} // namespace pollenstall::bench
