/** @file declaration_rule_func.h Which texts the keys of a declaration take. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_RULE_FUNC_H
#define POLLENSTALL_DECLARATION_DECLARATION_RULE_FUNC_H

#include "declaration/declaration_type.h"
#include "toml_text/toml_text.h"

#include <string_view>

namespace pollenstall {

/// @return The service kind as the file spells it.
std::string_view kindText(service_kind Kind);

/// @return The spread as the file spells it.
std::string_view spreadText(placement_spread Spread);

const toml_text_rule &nameRule();        ///< Item names and label keys.
const toml_text_rule &kindRule();        ///< service_kind.
const toml_text_rule &spreadRule();      ///< placement_spread.
const toml_text_rule &modelRule();       ///< A model name, as in a caller's "model" field.
const toml_text_rule &labelValueRule();  ///< A label's value; may be empty.
const toml_text_rule &hostRule();        ///< A host without port; empty matches every host.
const toml_text_rule &pathPrefixRule();  ///< An absolute path without query.
const toml_text_rule &methodRule();      ///< An HTTP token of letters.
const toml_text_rule &headerNameRule();  ///< An HTTP token.
const toml_text_rule &headerValueRule(); ///< Visible ASCII and inner spaces.
const toml_text_rule &keyHashRule();     ///< SHA-256 in hex.

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_RULE_FUNC_H
