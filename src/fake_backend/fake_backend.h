/** @file fake_backend.h Public header of fake_backend, which simulates an engine or a plain
 * service. */
#ifndef POLLENSTALL_FAKE_BACKEND_FAKE_BACKEND_H
#define POLLENSTALL_FAKE_BACKEND_FAKE_BACKEND_H

#include "fake_backend/answer_text_func.h"      // IWYU pragma: export
#include "fake_backend/backend_server_base.h"   // IWYU pragma: export
#include "fake_backend/backend_settings_type.h" // IWYU pragma: export
#include "fake_backend/engine_base.h"           // IWYU pragma: export
#include "fake_backend/prompt_scan_func.h"      // IWYU pragma: export

#endif // POLLENSTALL_FAKE_BACKEND_FAKE_BACKEND_H
