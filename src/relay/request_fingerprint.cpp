/** @file request_fingerprint.cpp Hashes of requests; SHA-256 from OpenSSL. */
#include "relay/request_fingerprint_func.h"

#include <openssl/evp.h>

#include <array>
#include <cstring>
#include <initializer_list>
#include <memory>
#include <string>

namespace pollenstall {

namespace {

/// Length prefixes keep "a" + "bc" and "ab" + "c" distinct.
std::string joinedText(std::initializer_list<const std::string *> Parts) {
  std::string Text;
  for (const std::string *Part : Parts)
    Text += std::to_string(Part->size()) + ":" + *Part;
  return Text;
}

/// Contains the service instead of the Host header, which may be the address of any entry.
std::string identityText(const relayed_call &Call) {
  return joinedText({&Call.Facts.Account.str(), &Call.Facts.Service.str(), &Call.Request.Method,
                     &Call.Request.Target});
}

std::uint64_t headHashOf(const std::string &Identity, std::size_t BodyBytes) {
  return combineHashes(stableHash(Identity), BodyBytes);
}

/// The service whose servers run the request; several routes may lead to it.
const std::string &servingService(const relayed_call &Call) {
  const auto &Services = Call.Facts.Services;
  return Services.empty() ? Call.Facts.Service.str() : Services.front().first.str();
}

/// Returns a fingerprint with the leading bits of SHA-256 over both texts.
request_fingerprint digestOf(std::string_view First, std::string_view Second) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  const std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX *)> Hash(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  const bool Hashed = Hash && EVP_DigestInit_ex(Hash.get(), EVP_sha256(), nullptr) == 1 &&
                      EVP_DigestUpdate(Hash.get(), First.data(), First.size()) == 1 &&
                      EVP_DigestUpdate(Hash.get(), Second.data(), Second.size()) == 1 &&
                      EVP_DigestFinal_ex(Hash.get(), Digest.data(), nullptr) == 1;
  requireInvariant(Hashed, "SHA-256 is available");
  request_fingerprint Fingerprint;
  std::memcpy(&Fingerprint.High, Digest.data(), sizeof(Fingerprint.High));
  std::memcpy(&Fingerprint.Low, Digest.data() + sizeof(Fingerprint.High), sizeof(Fingerprint.Low));
  return Fingerprint;
}

std::size_t bodyBytes(const relayed_call &Call) {
  return Call.Request.Body ? Call.Request.Body->Text.size() : 0;
}

} // namespace

std::uint64_t requestHeadHash(const relayed_call &Call) {
  return headHashOf(identityText(Call), bodyBytes(Call));
}

request_fingerprint requestFingerprint(const relayed_call &Call, const request_body &Body) {
  const std::string Identity = identityText(Call);
  request_fingerprint Fingerprint = digestOf(Identity, Body.Text);
  Fingerprint.Account = stableHash(Call.Facts.Account.str());
  Fingerprint.HeadHash = headHashOf(Identity, Body.Text.size());
  return Fingerprint;
}

std::vector<request_fingerprint> promptPartFingerprints(const relayed_call &Call) {
  std::vector<request_fingerprint> Fingerprints;
  for (const std::string &Part : Call.SharedParts) {
    const std::string Identity = joinedText({&servingService(Call), &Part});
    request_fingerprint Fingerprint = digestOf(Identity, {});
    Fingerprint.Account = request_fingerprint::AnyAccount;
    Fingerprint.HeadHash = stableHash(Identity);
    Fingerprints.push_back(Fingerprint);
  }
  return Fingerprints;
}

std::optional<std::pair<request_fingerprint, mono_time>>
findBlock(const suspect_list &List, const relayed_call &Call, mono_time Now) {
  if (List.empty())
    return std::nullopt;
  std::vector<request_fingerprint> Fingerprints = promptPartFingerprints(Call);
  if (const auto Request = fingerprintIfSuspected(List, Call))
    Fingerprints.push_back(*Request);
  for (const request_fingerprint &Fingerprint : Fingerprints)
    if (const auto Until = List.blockedUntil(Fingerprint, Now))
      return std::pair(Fingerprint, *Until);
  return std::nullopt;
}

std::optional<request_fingerprint> fingerprintIfSuspected(const suspect_list &List,
                                                          const relayed_call &Call) {
  if (List.empty() || !Call.Request.Body || !List.hasHeadHash(requestHeadHash(Call)))
    return std::nullopt;
  const request_fingerprint Fingerprint = requestFingerprint(Call, *Call.Request.Body);
  return List.contains(Fingerprint) ? std::optional(Fingerprint) : std::nullopt;
}

} // namespace pollenstall
