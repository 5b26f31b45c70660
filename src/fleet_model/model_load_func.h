/** @file model_load_func.h Parses a load file. */
#ifndef POLLENSTALL_FLEET_MODEL_MODEL_LOAD_FUNC_H
#define POLLENSTALL_FLEET_MODEL_MODEL_LOAD_FUNC_H

#include "fleet_model/model_load_type.h"
#include "toml_text/toml_text.h"

#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// @return The load, or an error for each invalid key. Unknown keys are errors too.
result<model_load, std::vector<toml_error>> parseModelLoad(std::string_view Text);

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_MODEL_LOAD_FUNC_H
