/** @file settings_file.cpp TOML by tomlplusplus, flattened into dotted keys with their lines. */
#include "settings/settings_file_func.h"

#include <fstream>
#include <sstream>

#include <toml++/toml.h>

namespace pollenstall {

namespace {

using raw_entries = std::vector<raw_entry>;
using raw_errors = std::vector<settings_error>;

class flattener {
public:
  explicit flattener(std::string FileName) : File(std::move(FileName)) {}

  void table(const toml::table &Table, const std::string &Prefix) {
    for (const auto &[Key, Node] : Table) {
      const std::string Path =
          Prefix.empty() ? std::string(Key.str()) : Prefix + "." + std::string(Key.str());
      node(Node, Path);
    }
  }

  raw_entries Entries;
  raw_errors Errors;

private:
  void node(const toml::node &Node, const std::string &Path) {
    if (const auto *Table = Node.as_table())
      table(*Table, Path);
    else if (const auto *Array = Node.as_array())
      list(*Array, Path);
    else
      scalar(Node, Path);
  }

  void list(const toml::array &Array, const std::string &Path) {
    std::vector<std::string> Values;
    for (const toml::node &Item : Array) {
      const auto Text = Item.value_exact<std::string>();
      if (!Text) {
        refuse(Item, Path, "a list of texts");
        return;
      }
      Values.push_back(*Text);
    }
    add(Array, Path, Values);
  }

  void scalar(const toml::node &Node, const std::string &Path) {
    if (const auto Flag = Node.value_exact<bool>())
      add(Node, Path, *Flag);
    else if (const auto Whole = Node.value_exact<std::int64_t>())
      add(Node, Path, *Whole);
    else if (const auto Real = Node.value_exact<double>())
      add(Node, Path, *Real);
    else if (const auto Text = Node.value_exact<std::string>())
      add(Node, Path, *Text);
    else
      refuse(Node, Path, "a text, a number, true or false, or a list of texts");
  }

  void add(const toml::node &Node, const std::string &Path, raw_setting Value) {
    Entries.push_back({Path, static_cast<int>(Node.source().begin.line), std::move(Value)});
  }

  void refuse(const toml::node &Node, const std::string &Path, const char *Allowed) {
    Errors.push_back({File, static_cast<int>(Node.source().begin.line), Path, Allowed});
  }

  std::string File;
};

} // namespace

result<raw_entries, raw_errors> readSettingsText(const std::string &Text,
                                                 const std::string &FileName) {
  // The packaged tomlplusplus throws; its exception ends here.
  try {
    flattener Flat(FileName);
    Flat.table(toml::parse(Text, FileName), "");
    if (!Flat.Errors.empty())
      return Flat.Errors;
    return Flat.Entries;
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
