/** @file verb_dump.cpp dump --target URL: the state of one process. */
#include "json_text_func.h"
#include "verb_common_func.h"
#include "verb_func.h"

#include <boost/json/parse.hpp>

namespace pollenstall {

verb_result runDump(const ctl_options &Options) {
  const auto Url = parseUrl(Options.Target);
  if (!Url)
    return verb_failure{
        ctl_exit::BadUsage, "--target " + Options.Target + ": allowed: http://IP:PORT", {}};
  const auto Key = readKey(Options);
  if (!succeeded(Key))
    return errorOf(Key);
  const auto Answer = exchange(*Url, {"GET", "/dump", "", valueOf(Key)}, Options.Timeout);
  if (!succeeded(Answer))
    return verb_failure{ctl_exit::NotReachable, errorOf(Answer).Message, {}};
  boost::system::error_code NotJson;
  const auto Body = boost::json::parse(valueOf(Answer).Body, NotJson);
  constexpr unsigned int StatusOk = 200;
  if (valueOf(Answer).Status != StatusOk)
    return verb_failure{ctl_exit::Refused,
                        "refused with status " + std::to_string(valueOf(Answer).Status) + ": " +
                            errorMessage(NotJson ? boost::json::value() : Body),
                        {}};
  if (NotJson)
    return verb_failure{ctl_exit::Refused, "the dump is not JSON", {}};
  return verb_output{readableText(Body), Body};
}

} // namespace pollenstall
