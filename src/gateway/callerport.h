#pragma once

#include "core/http.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// The caller's end of one request. Answers are written to its socket as they
/// are, so that one that was cut off never gets the end of a whole one.
class CallerPort
{
public:
  CallerPort(Poco::Net::HTTPServerRequest& aRequest,
             Poco::Net::HTTPServerResponse& aResponse);

  /// Sends a whole answer.
  /// @return false when the caller is gone
  bool SendWhole(int aStatus,
                 const std::vector<HttpField>& aFields,
                 std::string_view aBody);

  /// Starts an answer whose length is not known.
  bool StartStream(int aStatus, const std::vector<HttpField>& aFields);
  bool SendPart(std::string_view aBytes);
  /// Ends the stream as a whole one.
  bool EndStream();

  /// Closes the connection at once.
  void Abort();

  bool HasStarted() const { return mStarted; }
  bool IsGone() const;

private:
  std::string MakeHead(int aStatus, const std::vector<HttpField>& aFields);
  bool Send(std::string_view aBytes);

  Poco::Net::HTTPServerRequestImpl& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
  bool mStarted = false;
};

} // namespace hibiscushold
