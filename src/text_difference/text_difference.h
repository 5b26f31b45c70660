/** @file text_difference.h Public header of text_difference: differences between two texts. */
#ifndef POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_H
#define POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_H

#include "text_difference/text_difference_func.h" // IWYU pragma: export
#include "text_difference/text_difference_type.h" // IWYU pragma: export

#endif // POLLENSTALL_TEXT_DIFFERENCE_TEXT_DIFFERENCE_H
