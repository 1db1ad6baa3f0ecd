#include "core/headtext.h"

#include "core/requesthead.h"

#include <Poco/Net/HTTPResponse.h>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPResponse;

/// @param aFirstLine without its end
Result<std::string>
Render(std::string aFirstLine, std::span<const HttpField> aFields)
{
  std::string head = std::move(aFirstLine);
  head += "\r\n";
  for (const HttpField& it : aFields) {
    if (!IsToken(it.mName) || !IsFieldText(it.mValue)) {
      return Failure{ Error::HeadInvalid,
                      "a field can't be written, as its name or value has an "
                      "invalid byte",
                      "" };
    }
    head.append(it.mName).append(": ").append(it.mValue).append("\r\n");
  }
  head += "\r\n";
  return head;
}

} // namespace

Result<std::string>
RenderRequestHead(std::string_view aMethod,
                  std::string_view aUri,
                  std::span<const HttpField> aFields)
{
  if (!IsToken(aMethod) || !IsRequestUri(aUri)) {
    return Failure{ Error::HeadInvalid,
                    "the method or path has an invalid byte",
                    "" };
  }
  std::string line(aMethod);
  line.append(" ").append(aUri).append(" HTTP/1.1");
  return Render(std::move(line), aFields);
}

Result<std::string>
RenderResponseHead(std::string_view aVersion,
                   int aStatus,
                   std::span<const HttpField> aFields)
{
  std::string line(aVersion);
  line.append(" ").append(std::to_string(aStatus)).append(" ");
  line.append(HTTPResponse::getReasonForStatus(
    static_cast<HTTPResponse::HTTPStatus>(aStatus)));
  return Render(std::move(line), aFields);
}

} // namespace hibiscushold
