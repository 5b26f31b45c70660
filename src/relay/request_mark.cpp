/** @file request_fingerprint.cpp Hashes of requests; SHA-256 by OpenSSL. */
#include "relay/request_mark_func.h"

#include <openssl/evp.h>

#include <array>
#include <cstring>
#include <memory>
#include <string>

namespace pollenstall {

namespace {

/// The service stands for the Host header, which may be the address of whichever entry was called.
/// Lengths in front keep "a" + "bc" and "ab" + "c" apart.
std::string headText(const relayed_call &Call) {
  std::string Text;
  for (const std::string *Part : {&Call.Facts.Account.str(), &Call.Facts.Service.str(),
                                  &Call.Request.Method, &Call.Request.Target})
    Text += std::to_string(Part->size()) + ":" + *Part;
  return Text;
}

std::uint64_t shapeOf(const std::string &Head, std::size_t BodyBytes) {
  return combineHashes(stableHash(Head), BodyBytes);
}

std::size_t bodyBytes(const relayed_call &Call) {
  return Call.Request.Body ? Call.Request.Body->Text.size() : 0;
}

} // namespace

std::uint64_t requestShape(const relayed_call &Call) {
  return shapeOf(headText(Call), bodyBytes(Call));
}

request_fingerprint requestMark(const relayed_call &Call, const held_body &Body) {
  const std::string Head = headText(Call);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  const std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX *)> Hash(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  const bool Hashed = Hash && EVP_DigestInit_ex(Hash.get(), EVP_sha256(), nullptr) == 1 &&
                      EVP_DigestUpdate(Hash.get(), Head.data(), Head.size()) == 1 &&
                      EVP_DigestUpdate(Hash.get(), Body.Text.data(), Body.Text.size()) == 1 &&
                      EVP_DigestFinal_ex(Hash.get(), Digest.data(), nullptr) == 1;
  requireInvariant(Hashed, "SHA-256 is available");
  request_fingerprint Mark;
  Mark.Account = stableHash(Call.Facts.Account.str());
  Mark.HeadHash = shapeOf(Head, Body.Text.size());
  std::memcpy(&Mark.High, Digest.data(), sizeof(Mark.High));
  std::memcpy(&Mark.Low, Digest.data() + sizeof(Mark.High), sizeof(Mark.Low));
  return Mark;
}

std::optional<request_fingerprint> markIfSuspected(const suspect_list &List,
                                                   const relayed_call &Call) {
  if (List.empty() || !Call.Request.Body || !List.hasHeadHash(requestShape(Call)))
    return std::nullopt;
  const request_fingerprint Mark = requestMark(Call, *Call.Request.Body);
  return List.contains(Mark) ? std::optional(Mark) : std::nullopt;
}

} // namespace pollenstall
