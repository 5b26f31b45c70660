/** @file toml_reader_base.h Reads one TOML table key by key and refuses what was not asked for. */
#ifndef POLLENSTALL_TOML_TEXT_TOML_READER_BASE_H
#define POLLENSTALL_TOML_TEXT_TOML_READER_BASE_H

#include "toml_text/toml_node_type.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// Which texts a key takes.
struct toml_text_rule {
  std::string Allowed; ///< In words, for the fault.
  std::function<bool(const std::string &)> Holds;
};

/// Both ends are allowed.
template <typename Number> struct toml_range {
  Number Min{};
  Number Max{};
};

/// Whether a table must have a key.
enum class toml_need : std::uint8_t { Optional, Required };

/**
 * A table under reading. Each read names a key; finish() then refuses every other key by name, so
 * that a misspelt key cannot silently leave a default in force.
 */
class toml_reader {
public:
  /**
   * @param Node The table; anything else is a fault.
   * @param NodePath Path of the table from the root; empty for the root.
   * @param Into Faults are added here; outlives the reader.
   */
  toml_reader(const toml_node &Node, std::string NodePath, std::vector<toml_fault> &Into);

  /// @return The text, or an empty one where it is absent or refused.
  std::string text(std::string_view Key, toml_need Need, const toml_text_rule &Rule);
  /// @return The texts; empty where the key is absent.
  std::vector<std::string> texts(std::string_view Key, toml_need Need, const toml_text_rule &Rule);
  /// @return The texts of a table of texts, by key.
  std::map<std::string, std::string> textTable(std::string_view Key, toml_need Need,
                                               const toml_text_rule &KeyRule,
                                               const toml_text_rule &ValueRule);
  /// @return The whole number, or Default where it is absent or refused.
  std::int64_t whole(std::string_view Key, toml_range<std::int64_t> Range, std::int64_t Default);
  /// The same for a key that may be absent without a default.
  std::optional<std::int64_t> whole(std::string_view Key, toml_range<std::int64_t> Range);
  /// @return The number, whole or with a fraction, or Default.
  double number(std::string_view Key, toml_range<double> Range, double Default);
  /// @return The flag, or Default.
  bool flag(std::string_view Key, bool Default);
  /// @return One reader for each table of a list of tables.
  std::vector<toml_reader> tables(std::string_view Key, toml_need Need);
  /// @return A reader for a table, if it is there.
  std::optional<toml_reader> table(std::string_view Key);

  /// Refuses the keys that were not read. @param What Names the kind of table in the fault.
  void finish(std::string_view What);

  /// @return The path from the root.
  [[nodiscard]] const std::string &path() const { return Path; }

private:
  const toml_node *find(std::string_view Key, toml_need Need, std::string_view Allowed);
  std::optional<std::string> checkedText(const toml_node &Node, const std::string &NodePath,
                                         const toml_text_rule &Rule);
  void refuse(int AtLine, std::string Key, std::string Allowed);
  [[nodiscard]] std::string keyPath(std::string_view Key) const;
  [[nodiscard]] std::string itemPath(std::string_view Key, std::size_t Index) const;
  [[nodiscard]] std::string knownKeys() const;

  const toml_table *Members{nullptr};
  int Line{0};
  std::string Path;
  std::vector<toml_fault> *Faults;
  std::vector<std::string> Known;
};

} // namespace pollenstall

#endif // POLLENSTALL_TOML_TEXT_TOML_READER_BASE_H
