/** @file backend_settings_type.h Settings of the fake backend. */
#ifndef POLLENSTALL_FAKE_BACKEND_BACKEND_SETTINGS_TYPE_H
#define POLLENSTALL_FAKE_BACKEND_BACKEND_SETTINGS_TYPE_H

#include "settings/settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// Values of the settings file; backendSettings() describes each key.
struct backend_settings {
  std::string Listen;
  std::string AddressFile;
  std::string Fleet;
  std::string Service;
  std::string Kind;
  std::string FailureDomain;
  std::vector<std::string> Labels;
  std::vector<std::string> Models;
  std::vector<std::string> AnnounceTo;
  std::string KeyFile;
  std::chrono::milliseconds AnnounceInterval{};
  bool Priorities{};
  bool Cancels{};
  bool Resumes{};
  bool MovesCache{};
  std::string Orders;
  std::int64_t BaseUs{};
  double PrefillTokenUs{};
  std::int64_t PerSequenceUs{};
  std::int64_t ChunkTokens{};
  std::int64_t MaxRunning{};
  std::int64_t Blocks{};
  std::int64_t BlockTokens{};
  std::int64_t PrefixCacheBlocks{};
  std::int64_t AnswerTokens{};
  std::chrono::milliseconds ResumeWindow{};
  std::chrono::milliseconds LoadLag{};
  std::chrono::milliseconds CacheEventLag{};
  double CacheEventLoss{};
  std::chrono::milliseconds PlainDelay{};
  std::chrono::milliseconds ShutdownLimit{};
  std::int64_t Seed{};
  std::string Faults;
  std::string LogLevel;
};

/// Returns the table of keys, defaults, checks and help texts.
settings_table<backend_settings> backendSettings();

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_BACKEND_SETTINGS_TYPE_H
