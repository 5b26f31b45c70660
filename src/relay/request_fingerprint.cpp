/** @file request_fingerprint.cpp Hashes of requests; SHA-256 from OpenSSL. */
#include "relay/request_fingerprint_func.h"

#include <openssl/evp.h>

#include <array>
#include <cstring>
#include <memory>
#include <string>

namespace pollenstall {

namespace {

/// Contains the service instead of the Host header, which may be the address of any entry. Length
/// prefixes keep "a" + "bc" and "ab" + "c" distinct.
std::string identityText(const relayed_call &Call) {
  std::string Text;
  for (const std::string *Part : {&Call.Facts.Account.str(), &Call.Facts.Service.str(),
                                  &Call.Request.Method, &Call.Request.Target})
    Text += std::to_string(Part->size()) + ":" + *Part;
  return Text;
}

std::uint64_t headHashOf(const std::string &Identity, std::size_t BodyBytes) {
  return combineHashes(stableHash(Identity), BodyBytes);
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
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  const std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX *)> Hash(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  const bool Hashed = Hash && EVP_DigestInit_ex(Hash.get(), EVP_sha256(), nullptr) == 1 &&
                      EVP_DigestUpdate(Hash.get(), Identity.data(), Identity.size()) == 1 &&
                      EVP_DigestUpdate(Hash.get(), Body.Text.data(), Body.Text.size()) == 1 &&
                      EVP_DigestFinal_ex(Hash.get(), Digest.data(), nullptr) == 1;
  requireInvariant(Hashed, "SHA-256 is available");
  request_fingerprint Fingerprint;
  Fingerprint.Account = stableHash(Call.Facts.Account.str());
  Fingerprint.HeadHash = headHashOf(Identity, Body.Text.size());
  std::memcpy(&Fingerprint.High, Digest.data(), sizeof(Fingerprint.High));
  std::memcpy(&Fingerprint.Low, Digest.data() + sizeof(Fingerprint.High), sizeof(Fingerprint.Low));
  return Fingerprint;
}

std::optional<request_fingerprint> fingerprintIfSuspected(const suspect_list &List,
                                                          const relayed_call &Call) {
  if (List.empty() || !Call.Request.Body || !List.hasHeadHash(requestHeadHash(Call)))
    return std::nullopt;
  const request_fingerprint Fingerprint = requestFingerprint(Call, *Call.Request.Body);
  return List.contains(Fingerprint) ? std::optional(Fingerprint) : std::nullopt;
}

} // namespace pollenstall
