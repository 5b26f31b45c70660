/** @file member_set.cpp Encoding, quorums and single changes of a member set. */
#include "consensus/member_set_func.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace pollenstall {

namespace {

constexpr char VoterTag = 'v';
constexpr char LearnerTag = 'l';

/// Takes numbers and characters from the front of a text.
class set_reader {
public:
  explicit set_reader(std::string_view Payload) : Remaining(Payload) {}

  std::optional<std::uint64_t> takeNumber() {
    std::uint64_t Value = 0;
    const auto [End, Error] =
        std::from_chars(Remaining.data(), Remaining.data() + Remaining.size(), Value);
    if (Error != std::errc{})
      return std::nullopt;
    Remaining.remove_prefix(static_cast<std::size_t>(End - Remaining.data()));
    return Value;
  }

  std::optional<char> takeChar() {
    if (Remaining.empty())
      return std::nullopt;
    const char Tag = Remaining.front();
    Remaining.remove_prefix(1);
    return Tag;
  }

  [[nodiscard]] bool atEnd() const { return Remaining.empty(); }

private:
  std::string_view Remaining;
};

std::optional<log_member> readMember(set_reader &Reader) {
  const auto Tag = Reader.takeChar();
  if (!Tag || (*Tag != VoterTag && *Tag != LearnerTag))
    return std::nullopt;
  const auto Member = Reader.takeNumber();
  if (!Member || Reader.takeChar() != '/')
    return std::nullopt;
  const auto Disk = Reader.takeNumber();
  if (!Disk)
    return std::nullopt;
  const auto VotingStatus = *Tag == VoterTag ? voting_status::Voter : voting_status::Learner;
  return log_member{{member_id(*Member), disk_identity(*Disk)}, VotingStatus};
}

bool idsAscend(const std::vector<log_member> &Members) {
  const auto NotAscending = [](const log_member &A, const log_member &B) {
    return A.Key.Member >= B.Key.Member;
  };
  return std::adjacent_find(Members.begin(), Members.end(), NotAscending) == Members.end();
}

} // namespace

std::string encodeMembers(const member_set &Set) {
  std::string Payload = std::to_string(Set.Cluster.value());
  for (const log_member &Member : Set.Members) {
    Payload += Member.VotingStatus == voting_status::Voter ? VoterTag : LearnerTag;
    Payload += toText(Member.Key);
  }
  return Payload;
}

std::optional<member_set> decodeMembers(std::string_view Payload) {
  set_reader Reader(Payload);
  const auto Cluster = Reader.takeNumber();
  if (!Cluster)
    return std::nullopt;
  member_set Set{cluster_id(*Cluster), {}};
  while (!Reader.atEnd()) {
    const auto Member = readMember(Reader);
    if (!Member)
      return std::nullopt;
    Set.Members.push_back(*Member);
  }
  if (!idsAscend(Set.Members) || voterCount(Set) == 0)
    return std::nullopt;
  return Set;
}

const log_member *findMember(const member_set &Set, const member_key &Key) {
  const log_member *Found = findMember(Set, Key.Member);
  return Found != nullptr && Found->Key == Key ? Found : nullptr;
}

const log_member *findMember(const member_set &Set, member_id Member) {
  for (const log_member &Existing : Set.Members)
    if (Existing.Key.Member == Member)
      return &Existing;
  return nullptr;
}

bool isVoter(const member_set &Set, const member_key &Key) {
  const log_member *Found = findMember(Set, Key);
  return Found != nullptr && Found->VotingStatus == voting_status::Voter;
}

std::size_t voterCount(const member_set &Set) {
  return static_cast<std::size_t>(
      std::count_if(Set.Members.begin(), Set.Members.end(), [](const log_member &Member) {
        return Member.VotingStatus == voting_status::Voter;
      }));
}

std::size_t quorumSize(const member_set &Set) { return quorumOf(voterCount(Set)); }

bool hasQuorum(const member_set &Set, const std::function<bool(const member_key &)> &Agrees) {
  std::size_t Agreeing = 0;
  for (const log_member &Member : Set.Members)
    if (Member.VotingStatus == voting_status::Voter && Agrees(Member.Key))
      ++Agreeing;
  return Agreeing >= quorumSize(Set);
}

member_set withLearner(member_set Set, const member_key &Key) {
  Set = withoutMember(std::move(Set), Key.Member);
  const log_member Learner{Key, voting_status::Learner};
  const auto Position = std::lower_bound(Set.Members.begin(), Set.Members.end(), Learner);
  Set.Members.insert(Position, Learner);
  return Set;
}

member_set withVoter(member_set Set, const member_key &Key) {
  for (log_member &Member : Set.Members)
    if (Member.Key == Key)
      Member.VotingStatus = voting_status::Voter;
  return Set;
}

member_set withoutMember(member_set Set, member_id Member) {
  std::erase_if(Set.Members,
                [Member](const log_member &Existing) { return Existing.Key.Member == Member; });
  return Set;
}

std::string toText(const member_set &Set) {
  std::ostringstream Out;
  const char *Separator = "";
  for (const log_member &Member : Set.Members) {
    Out << Separator << toText(Member.Key)
        << (Member.VotingStatus == voting_status::Voter ? " voter" : " learner");
    Separator = ", ";
  }
  return Out.str();
}

std::string toText(const member_key &Key) {
  return std::to_string(Key.Member.value()) + "/" + std::to_string(Key.Disk.value());
}

} // namespace pollenstall
