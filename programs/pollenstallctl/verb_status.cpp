/** @file verb_status.cpp status: leader, members, entries and backend servers as control sees them.
 */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

namespace pollenstall {

verb_result runStatus(const ctl_options &Options) {
  auto Client = makeClient(Options);
  if (!succeeded(Client))
    return errorOf(Client);
  const auto Body = fetchStatus(valueOf(Client));
  if (!succeeded(Body))
    return errorOf(Body);
  return verb_output{readableText(valueOf(Body)), valueOf(Body)};
}

} // namespace pollenstall
