/** @file evacuation_list.cpp Updates the list of evacuated failure domains. */
#include "evacuation/evacuation_list_base.h"

namespace pollenstall {

bool evacuation_list::update(std::uint64_t NewVersion,
                             const std::vector<failure_domain_name> &NewDomains) {
  if (Version && NewVersion <= *Version)
    return false;
  Version = NewVersion;
  Domains = {NewDomains.begin(), NewDomains.end()};
  Domains.erase(failure_domain_name());
  return true;
}

} // namespace pollenstall
