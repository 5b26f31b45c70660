/** @file verb_dump.cpp dump --target URL: prints the state of one process. */
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
  const auto Response = sendRequest(*Url, {"GET", "/dump", "", valueOf(Key)}, Options.Timeout);
  if (!succeeded(Response))
    return verb_failure{ctl_exit::NotReachable, errorOf(Response).Message, {}};
  boost::system::error_code ParseError;
  const auto Body = boost::json::parse(valueOf(Response).Body, ParseError);
  constexpr unsigned int StatusOk = 200;
  if (valueOf(Response).Status != StatusOk)
    return verb_failure{ctl_exit::Refused,
                        "refused with status " + std::to_string(valueOf(Response).Status) + ": " +
                            errorMessage(ParseError ? boost::json::value() : Body),
                        {}};
  if (ParseError)
    return verb_failure{ctl_exit::Refused, "the dump is not JSON", {}};
  return verb_output{toReadableText(Body), Body};
}

} // namespace pollenstall
