/** @file declaration_bounds.h Bounds of the numbers in a declaration; docs/DECLARATIONS.md lists
 * the same. */
#ifndef POLLENSTALL_DECLARATION_TABLE_DECLARATION_BOUNDS_H
#define POLLENSTALL_DECLARATION_TABLE_DECLARATION_BOUNDS_H

#include "toml_text/toml_text.h"

#include <cstddef>
#include <cstdint>

namespace pollenstall {

using integer_range = toml_range<std::int64_t>;

constexpr std::size_t MaxDeclarationBytes =
    512U << 10U; ///< Fits a log entry; holds about 3,000 accounts.
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxTextLength = 256; ///< Of models, labels, hosts, paths and header values.
constexpr std::size_t KeyHashDigits = 64;  ///< SHA-256 in hex.

constexpr integer_range TimeoutMs{1, 86'400'000};
constexpr integer_range PromptTokens{1, 100'000'000};
constexpr integer_range PromptBorderTokens{0, 100'000'000};
constexpr integer_range AnswerTokens{1, 10'000'000};
constexpr integer_range BodyBytes{1'024, 1LL << 30U};
constexpr toml_range<double> ColdRate{0.0, 1e6};
constexpr toml_range<double> ColdStartSeconds{0.0, 600.0};
constexpr integer_range GroupWeight{0, 1'000'000};
constexpr integer_range PlacementCopies{0, 10'000};
constexpr integer_range AccountShare{1, 1'000'000};
constexpr integer_range QueuedRequests{1, 1'000'000};
constexpr toml_range<double> LengthWeight{0.0, 1'000.0};
constexpr integer_range LongPrefillsPerEngine{1, 1'000};
constexpr integer_range SharePercent{0, 100};
constexpr integer_range Attempts{1, 16};
constexpr integer_range ClaimLifetimeMs{60'000, 2'592'000'000};

} // namespace pollenstall

#endif // POLLENSTALL_DECLARATION_TABLE_DECLARATION_BOUNDS_H
