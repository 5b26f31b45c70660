/** @file toml_reader_base.h Reads one TOML table key by key and rejects unknown keys. */
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

/// Validation rule of a text.
struct toml_text_rule {
  std::string Allowed; ///< The accepted texts, in words, for errors.
  std::function<bool(const std::string &)> IsValid;
};

/// Inclusive bounds.
template <typename Number> struct toml_range {
  Number Min{};
  Number Max{};
};

/// Whether a table must have a key.
enum class toml_presence : std::uint8_t { Optional, Required };

/**
 * Reads a table. Each read names a key; finish() then reports every other key as an error, so that
 * a misspelt key cannot silently leave a default in force.
 */
class toml_reader {
public:
  /**
   * @param Node The table; any other type is an error.
   * @param NodePath Path of the table from the root; empty for the root.
   * @param ErrorList Receives the errors; must outlive the reader.
   */
  toml_reader(const toml_node &Node, std::string NodePath, std::vector<toml_error> &ErrorList);

  /// @return The text, or an empty one if the key is absent or invalid.
  std::string text(std::string_view Key, toml_presence Presence, const toml_text_rule &Rule);
  /// @return The valid texts of a list; empty if the key is absent.
  std::vector<std::string> texts(std::string_view Key, toml_presence Presence,
                                 const toml_text_rule &Rule);
  /// @return The valid texts of a table of texts, by key.
  std::map<std::string, std::string> textTable(std::string_view Key, toml_presence Presence,
                                               const toml_text_rule &KeyRule,
                                               const toml_text_rule &ValueRule);
  /// @return The integer, or Default if the key is absent or invalid.
  std::int64_t integer(std::string_view Key, toml_range<std::int64_t> Range, std::int64_t Default);
  /// @return The integer, or nothing if the key is absent or invalid.
  std::optional<std::int64_t> integer(std::string_view Key, toml_range<std::int64_t> Range);
  /// @return The integer or floating-point number, or Default if the key is absent or invalid.
  double number(std::string_view Key, toml_range<double> Range, double Default);
  /// @return The flag, or Default if the key is absent or invalid.
  bool flag(std::string_view Key, bool Default);
  /// @return One reader for each table of a list of tables.
  std::vector<toml_reader> tables(std::string_view Key, toml_presence Presence);
  /// @return A reader of the table, or nothing if the key is absent.
  std::optional<toml_reader> table(std::string_view Key);

  /// Reports every key that was not read. @param TableKind The kind of table, for errors.
  void finish(std::string_view TableKind);

  /// @return The path from the root.
  [[nodiscard]] const std::string &path() const { return Path; }

private:
  const toml_node *find(std::string_view Key, toml_presence Presence, std::string_view Allowed);
  std::optional<std::string> checkedText(const toml_node &Node, const std::string &NodePath,
                                         const toml_text_rule &Rule);
  void addError(int ErrorLine, std::string Key, std::string Allowed);
  [[nodiscard]] std::string keyPath(std::string_view Key) const;
  [[nodiscard]] std::string elementPath(std::string_view Key, std::size_t Index) const;
  [[nodiscard]] std::string knownKeys() const;

  const toml_table *Members{nullptr};
  int Line{0};
  std::string Path;
  std::vector<toml_error> *Errors;
  std::vector<std::string> ReadKeys;
};

} // namespace pollenstall

#endif // POLLENSTALL_TOML_TEXT_TOML_READER_BASE_H
