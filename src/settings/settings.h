/** @file settings.h Public header of settings: tables of checked settings read from TOML. */
#ifndef POLLENSTALL_SETTINGS_SETTINGS_H
#define POLLENSTALL_SETTINGS_SETTINGS_H

#include "settings/setting_checks_func.h" // IWYU pragma: export
#include "settings/settings_file_func.h"  // IWYU pragma: export
#include "settings/settings_table_base.h" // IWYU pragma: export
#include "settings/settings_type.h"       // IWYU pragma: export

#endif // POLLENSTALL_SETTINGS_SETTINGS_H
