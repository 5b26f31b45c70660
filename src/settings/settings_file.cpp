/** @file settings_file.cpp Flattens TOML, parsed by tomlplusplus, into dotted keys with their
 * lines. */
#include "settings/settings_file_func.h"

#include <fstream>
#include <sstream>

#include <toml++/toml.h>

namespace pollenstall {

namespace {

using raw_entries = std::vector<raw_entry>;
using raw_errors = std::vector<settings_error>;

/// Collects the dotted keys of a document.
class flattener {
public:
  explicit flattener(std::string FileName) : File(std::move(FileName)) {}

  void addTable(const toml::table &Table, const std::string &Prefix) {
    for (const auto &[Key, Node] : Table) {
      const std::string Path =
          Prefix.empty() ? std::string(Key.str()) : Prefix + "." + std::string(Key.str());
      addNode(Node, Path);
    }
  }

  raw_entries Entries;
  raw_errors Errors;

private:
  void addNode(const toml::node &Node, const std::string &Path) {
    if (const auto *Table = Node.as_table())
      addTable(*Table, Path);
    else if (const auto *Array = Node.as_array())
      addList(*Array, Path);
    else
      addScalar(Node, Path);
  }

  void addList(const toml::array &Array, const std::string &Path) {
    std::vector<std::string> Values;
    for (const toml::node &Element : Array) {
      const auto Text = Element.value_exact<std::string>();
      if (!Text) {
        addError(Element, Path, "a list of texts");
        return;
      }
      Values.push_back(*Text);
    }
    addEntry(Array, Path, Values);
  }

  void addScalar(const toml::node &Node, const std::string &Path) {
    if (const auto Flag = Node.value_exact<bool>())
      addEntry(Node, Path, *Flag);
    else if (const auto Whole = Node.value_exact<std::int64_t>())
      addEntry(Node, Path, *Whole);
    else if (const auto Real = Node.value_exact<double>())
      addEntry(Node, Path, *Real);
    else if (const auto Text = Node.value_exact<std::string>())
      addEntry(Node, Path, *Text);
    else
      addError(Node, Path, "a text, a number, true or false, or a list of texts");
  }

  void addEntry(const toml::node &Node, const std::string &Path, raw_setting Value) {
    Entries.push_back({Path, static_cast<int>(Node.source().begin.line), std::move(Value)});
  }

  void addError(const toml::node &Node, const std::string &Path, const char *Allowed) {
    Errors.push_back({File, static_cast<int>(Node.source().begin.line), Path, Allowed});
  }

  std::string File;
};

} // namespace

result<raw_entries, raw_errors> readSettingsText(const std::string &Text,
                                                 const std::string &FileName) {
  // The packaged tomlplusplus reports errors by exception; convert it to an error here.
  try {
    flattener Flattener(FileName);
    Flattener.addTable(toml::parse(Text, FileName), "");
    if (!Flattener.Errors.empty())
      return Flattener.Errors;
    return Flattener.Entries;
  } catch (const toml::parse_error &Error) {
    return raw_errors{{FileName, static_cast<int>(Error.source().begin.line), "",
                       "valid TOML: " + std::string(Error.description())}};
  }
}

result<raw_entries, raw_errors> readSettingsFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return raw_errors{{Path, 0, "", "a file that can be read"}};
  std::ostringstream Text;
  Text << File.rdbuf();
  return readSettingsText(Text.str(), Path);
}

} // namespace pollenstall
