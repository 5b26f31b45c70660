/** @file verb_validate.cpp validate FILE: validates a declaration without contacting a control
 * host. */
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/object.hpp>

namespace pollenstall {

verb_result runValidate(const ctl_options &Options) {
  const auto Read = readDeclaration(Options.Arguments[0]);
  if (!succeeded(Read))
    return errorOf(Read);
  const fleet_declaration &Fleet = valueOf(Read);
  const auto Warnings = findWarnings(Fleet);
  const std::string Counts = std::to_string(Fleet.Services.size()) + " services, " +
                             std::to_string(Fleet.Groups.size()) + " groups, " +
                             std::to_string(Fleet.Selectors.size()) + " selectors, " +
                             std::to_string(Fleet.Accounts.size()) + " accounts";
  return verb_output{toText(Warnings) + "valid: " + Counts + "\n",
                     boost::json::object{{"valid", true},
                                         {"services", Fleet.Services.size()},
                                         {"groups", Fleet.Groups.size()},
                                         {"selectors", Fleet.Selectors.size()},
                                         {"accounts", Fleet.Accounts.size()},
                                         {"warnings", toJson(Warnings)}}};
}

} // namespace pollenstall
