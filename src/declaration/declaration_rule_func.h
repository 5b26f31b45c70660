/** @file declaration_rule_func.h Which texts the keys of a declaration take. */
#ifndef POLLENSTALL_DECLARATION_DECLARATION_RULE_FUNC_H
#define POLLENSTALL_DECLARATION_DECLARATION_RULE_FUNC_H

#include "declaration/declaration_type.h"
#include "toml_text/toml_text.h"

#include <string_view>

namespace pollenstall {

/// @return How the file writes a kind.
std::string_view kindText(service_kind Kind);

/// @return How the file writes a spread.
std::string_view spreadText(placement_spread Spread);

const toml_text_rule &nameRule();        ///< Items, labels' keys.
const toml_text_rule &kindRule();        ///< service_kind.
const toml_text_rule &spreadRule();      ///< placement_spread.
const toml_text_rule &modelRule();       ///< What callers write as "model".
const toml_text_rule &labelValueRule();  ///< May be empty.
const toml_text_rule &hostRule();        ///< No port; empty matches every host.
const toml_text_rule &pathPrefixRule();  ///< Absolute, without query.
const toml_text_rule &methodRule();      ///< An HTTP token of letters.
const toml_text_rule &headerNameRule();  ///< An HTTP token.
const toml_text_rule &headerValueRule(); ///< Visible ASCII and inner spaces.
const toml_text_rule &keyHashRule();     ///< SHA-256 in hex.

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_DECLARATION_RULE_FUNC_H
