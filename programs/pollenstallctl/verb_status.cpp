/** @file verb_status.cpp status: prints the state of the fleet as control sees it. */
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
  return verb_output{toReadableText(valueOf(Body)), valueOf(Body)};
}

} // namespace pollenstall
