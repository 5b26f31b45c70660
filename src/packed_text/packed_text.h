/** @file packed_text.h Public header of packed_text: compressed texts for messages. */
#ifndef POLLENSTALL_PACKED_TEXT_PACKED_TEXT_H
#define POLLENSTALL_PACKED_TEXT_PACKED_TEXT_H

#include "packed_text/packed_text_func.h" // IWYU pragma: export
#include "packed_text/packed_text_type.h" // IWYU pragma: export

#endif // POLLENSTALL_PACKED_TEXT_PACKED_TEXT_H
