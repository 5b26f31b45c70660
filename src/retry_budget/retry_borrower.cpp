/** @file retry_borrower.cpp Rounds of requests for loans, and the loans that are valid. */
#include "retry_budget/retry_borrower_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

/// Weight of the latest answer in the average of loans.
constexpr double LoanWeight = 0.1;
constexpr retry_amount MinUsualLoan = 0.01;
/// After a round without a loan, the next one asks this part of the entries.
constexpr std::size_t EmptyRoundDivisor = 4;
/// With a longer interval between rounds nobody has had anything to lend for several rounds.
constexpr int SoonIntervals = 4;
/// After fewer requests without a loan, other entries may still have something to lend.
constexpr std::size_t MinRefusals = 12;
/// After this many intervals the answers that are missing were lost.
constexpr int RoundTimeoutIntervals = 4;

} // namespace

void retry_borrower::setPeers(std::vector<std::string> Addresses) {
  Peers = std::move(Addresses);
  // Entries that fall short together must not all ask the same others first.
  std::shuffle(Peers.begin(), Peers.end(), Random);
  NextPeer = 0;
}

void retry_borrower::want(std::uint64_t Service, retry_amount Amount, mono_time Now) {
  account &Account = Accounts[Service];
  Account.Wanted = Amount;
  Account.WantedUntil = Now + LoanLifetime;
  if (Account.LastRound == mono_time::min() ||
      Now - Account.LastRound > Tuning.MaxRequestInterval) {
    Account.Interval = Tuning.RequestInterval;
    Account.RoundRequests = 0;
    Account.RefusedRequests = 0;
    Account.NextRound = Now;
  }
}

bool retry_borrower::mayBorrow(std::uint64_t Service, mono_time Now) const {
  if (Peers.empty())
    return false;
  const auto Found = Accounts.find(Service);
  if (Found == Accounts.end() || Found->second.LastRound == mono_time::min())
    return true;
  return Found->second.Interval <= SoonIntervals * Tuning.RequestInterval ||
         Now - Found->second.LastRound > Tuning.MaxRequestInterval;
}

void retry_borrower::receive(const retry_loan &Loan, mono_time Now) {
  const auto Found = Accounts.find(Loan.Service);
  if (Found == Accounts.end())
    return;
  account &Account = Found->second;
  const auto Asked = Account.Pending.find(Loan.Number);
  if (Asked == Account.Pending.end())
    return; // A copy of an answer, or one that is late.
  const mono_time Until = Asked->second + LoanLifetime;
  Account.Pending.erase(Asked);
  if (Account.Pending.empty())
    Account.NextRound = std::min(Account.NextRound, Account.LastRound + Account.Interval);
  if (Loan.Amount > 0)
    UsualLoan = std::max(MinUsualLoan, UsualLoan + LoanWeight * (Loan.Amount - UsualLoan));
  if (Until <= Now || Loan.Amount <= 0)
    return;
  Account.RoundLoans += Loan.Amount;
  Account.Loans.push_back({Until, Loan.Amount});
}

retry_amount retry_borrower::available(std::uint64_t Service, mono_time Now) {
  const auto Found = Accounts.find(Service);
  if (Found == Accounts.end())
    return 0;
  std::erase_if(Found->second.Loans, [Now](const valid_loan &Loan) { return Loan.Until <= Now; });
  retry_amount Sum = 0;
  for (const valid_loan &Loan : Found->second.Loans)
    Sum += Loan.Amount;
  return Sum;
}

retry_amount retry_borrower::use(std::uint64_t Service, retry_amount Amount, mono_time Now) {
  if (available(Service, Now) <= 0)
    return Amount;
  std::deque<valid_loan> &Loans = Accounts[Service].Loans;
  while (Amount > 0 && !Loans.empty()) {
    const retry_amount Used = std::min(Amount, Loans.front().Amount);
    Amount -= Used;
    Loans.front().Amount -= Used;
    if (Loans.front().Amount <= 0)
      Loans.pop_front();
  }
  return Amount;
}

void retry_borrower::refillRequests(mono_time Now) {
  const double Elapsed = std::chrono::duration<double>(Now - RequestsFilledAt).count();
  RequestsFilledAt = Now;
  SavedRequests =
      std::min(SavedRequests + Elapsed * Tuning.RequestsPerSecond, Tuning.MaxSavedRequests);
}

std::size_t retry_borrower::requestCount(const account &Account, retry_amount Missing) const {
  std::size_t Count = static_cast<std::size_t>(
      std::ceil(std::min(Missing / UsualLoan, static_cast<double>(Tuning.MaxRequestsPerRound))));
  if (Account.RefusedRequests >= MinRefusals)
    Count = std::min(Count, Account.RoundRequests / EmptyRoundDivisor);
  Count = std::max<std::size_t>(1, Count);
  return std::min({Count, Peers.size(), static_cast<std::size_t>(SavedRequests)});
}

void retry_borrower::startRound(std::uint64_t Service, account &Account, mono_time Now,
                                std::vector<retry_datagram> &Datagrams) {
  std::erase_if(Account.Pending,
                [this, Now](const auto &Item) { return Item.second + LoanLifetime <= Now; });
  const mono_time AnswersBy = Account.LastRound + RoundTimeoutIntervals * Tuning.RequestInterval;
  if (!Account.Pending.empty() && Now < AnswersBy) {
    Account.NextRound = AnswersBy;
    return;
  }
  const retry_amount Missing = Account.Wanted - available(Service, Now);
  if (Missing <= 0) {
    Account.NextRound = Now + Tuning.RequestInterval;
    return;
  }
  if (Account.RoundLoans > 0)
    Account.RefusedRequests = 0;
  else
    Account.RefusedRequests += Account.RoundRequests;
  Account.Interval = Account.RefusedRequests < MinRefusals
                         ? Tuning.RequestInterval
                         : std::min(2 * Account.Interval, Tuning.MaxRequestInterval);
  Account.NextRound = Now + Account.Interval;
  const std::size_t Count = requestCount(Account, Missing);
  if (Count == 0)
    return;
  // Whatever is borrowed beyond what is missing would be used by nobody.
  const retry_amount Each =
      std::ceil(Missing / static_cast<double>(Count) * RetryUnits) / RetryUnits;
  for (std::size_t Request = 0; Request < Count; ++Request) {
    Account.Pending[++LastNumber] = Now;
    Datagrams.push_back({Peers[NextPeer], retry_loan_request{Service, LastNumber, Each}});
    NextPeer = (NextPeer + 1) % Peers.size();
  }
  SavedRequests -= static_cast<double>(Count);
  Account.LastRound = Now;
  Account.RoundRequests = Count;
  Account.RoundLoans = 0;
}

std::vector<retry_datagram> retry_borrower::takeRequests(mono_time Now) {
  std::vector<retry_datagram> Datagrams;
  if (Peers.empty())
    return Datagrams;
  refillRequests(Now);
  for (auto &[Service, Account] : Accounts) {
    if (Account.WantedUntil <= Now)
      Account.Wanted = 0;
    if (Account.Wanted > 0 && Account.NextRound <= Now)
      startRound(Service, Account, Now, Datagrams);
  }
  return Datagrams;
}

std::optional<mono_time> retry_borrower::nextWake() const {
  std::optional<mono_time> Next;
  if (Peers.empty())
    return Next;
  for (const auto &[Service, Account] : Accounts)
    if (Account.Wanted > 0)
      Next = std::min(Next.value_or(mono_time::max()), Account.NextRound);
  return Next;
}

} // namespace pollenstall
