/** @file wire.h Public header of wire: bounded decoding of cereal messages over TCP and UDP. */
#ifndef POLLENSTALL_WIRE_WIRE_H
#define POLLENSTALL_WIRE_WIRE_H

#include "wire/bounded_archive.h"   // IWYU pragma: export
#include "wire/core_codec_func.h"   // IWYU pragma: export
#include "wire/envelope_func.h"     // IWYU pragma: export
#include "wire/frame_reader_base.h" // IWYU pragma: export
#include "wire/wire_type.h"         // IWYU pragma: export

#endif // POLLENSTALL_WIRE_WIRE_H
