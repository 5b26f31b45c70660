/** @file member_set.cpp Text form, quorums and single changes of a set of members. */
#include "consensus/member_set_func.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace pollenstall {

namespace {

constexpr char VoterMark = 'v';
constexpr char LearnerMark = 'l';

/// Reads numbers and marks off the front of a text.
class set_reader {
public:
  explicit set_reader(std::string_view Payload) : Rest(Payload) {}

  std::optional<std::uint64_t> number() {
    std::uint64_t Value = 0;
    const auto [End, Error] = std::from_chars(Rest.data(), Rest.data() + Rest.size(), Value);
    if (Error != std::errc{})
      return std::nullopt;
    Rest.remove_prefix(static_cast<std::size_t>(End - Rest.data()));
    return Value;
  }

  std::optional<char> mark() {
    if (Rest.empty())
      return std::nullopt;
    const char Mark = Rest.front();
    Rest.remove_prefix(1);
    return Mark;
  }

  [[nodiscard]] bool atEnd() const { return Rest.empty(); }

private:
  std::string_view Rest;
};

std::optional<log_member> readMember(set_reader &Reader) {
  const auto Mark = Reader.mark();
  if (!Mark || (*Mark != VoterMark && *Mark != LearnerMark))
    return std::nullopt;
  const auto Member = Reader.number();
  if (!Member || Reader.mark() != '/')
    return std::nullopt;
  const auto Disk = Reader.number();
  if (!Disk)
    return std::nullopt;
  const auto Standing = *Mark == VoterMark ? member_standing::Voter : member_standing::Learner;
  return log_member{{member_id(*Member), disk_identity(*Disk)}, Standing};
}

bool idsRise(const std::vector<log_member> &Members) {
  const auto NotRising = [](const log_member &A, const log_member &B) {
    return A.Key.Member >= B.Key.Member;
  };
  return std::adjacent_find(Members.begin(), Members.end(), NotRising) == Members.end();
}

} // namespace

std::string encodeMembers(const member_set &Set) {
  std::string Payload = std::to_string(Set.Cluster.value());
  for (const log_member &Member : Set.Members) {
    Payload += Member.Standing == member_standing::Voter ? VoterMark : LearnerMark;
    Payload += toText(Member.Key);
  }
  return Payload;
}

std::optional<member_set> decodeMembers(std::string_view Payload) {
  set_reader Reader(Payload);
  const auto Cluster = Reader.number();
  if (!Cluster)
    return std::nullopt;
  member_set Set{cluster_id(*Cluster), {}};
  while (!Reader.atEnd()) {
    const auto Member = readMember(Reader);
    if (!Member)
      return std::nullopt;
    Set.Members.push_back(*Member);
  }
  if (!idsRise(Set.Members) || voterCount(Set) == 0)
    return std::nullopt;
  return Set;
}

const log_member *findMember(const member_set &Set, const member_key &Key) {
  const log_member *Found = findMember(Set, Key.Member);
  return Found != nullptr && Found->Key == Key ? Found : nullptr;
}

const log_member *findMember(const member_set &Set, member_id Member) {
  for (const log_member &Candidate : Set.Members)
    if (Candidate.Key.Member == Member)
      return &Candidate;
  return nullptr;
}

bool isVoter(const member_set &Set, const member_key &Key) {
  const log_member *Found = findMember(Set, Key);
  return Found != nullptr && Found->Standing == member_standing::Voter;
}

std::size_t voterCount(const member_set &Set) {
  return static_cast<std::size_t>(
      std::count_if(Set.Members.begin(), Set.Members.end(), [](const log_member &Member) {
        return Member.Standing == member_standing::Voter;
      }));
}

std::size_t quorumSize(const member_set &Set) { return quorumOf(voterCount(Set)); }

bool hasQuorum(const member_set &Set, const std::function<bool(const member_key &)> &Agrees) {
  std::size_t Agreeing = 0;
  for (const log_member &Member : Set.Members)
    if (Member.Standing == member_standing::Voter && Agrees(Member.Key))
      ++Agreeing;
  return Agreeing >= quorumSize(Set);
}

member_set withLearner(member_set Set, const member_key &Key) {
  Set = withoutMember(std::move(Set), Key.Member);
  const log_member Learner{Key, member_standing::Learner};
  const auto Place = std::lower_bound(Set.Members.begin(), Set.Members.end(), Learner);
  Set.Members.insert(Place, Learner);
  return Set;
}

member_set withVoter(member_set Set, const member_key &Key) {
  for (log_member &Member : Set.Members)
    if (Member.Key == Key)
      Member.Standing = member_standing::Voter;
  return Set;
}

member_set withoutMember(member_set Set, member_id Member) {
  std::erase_if(Set.Members,
                [Member](const log_member &Candidate) { return Candidate.Key.Member == Member; });
  return Set;
}

std::string toText(const member_set &Set) {
  std::ostringstream Out;
  const char *Separator = "";
  for (const log_member &Member : Set.Members) {
    Out << Separator << toText(Member.Key)
        << (Member.Standing == member_standing::Voter ? " voter" : " learner");
    Separator = ", ";
  }
  return Out.str();
}

std::string toText(const member_key &Key) {
  return std::to_string(Key.Member.value()) + "/" + std::to_string(Key.Disk.value());
}

} // namespace pollenstall
