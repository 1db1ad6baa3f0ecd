#include "emulator/caller.h"

#include "emulator/configs.h"
#include "platform/wirenames.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <thread>

namespace hibiscushold::emulator {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr auto kPause = milliseconds(20);
constexpr int kTimeoutMillis = 2000;
constexpr int kProbes = static_cast<int>(Probe::Once) + 1;
/// Versions whose keys and routes are gone, that are asked for.
constexpr uint64_t kOldestAsked = 4;

Verdict
VerdictOf(int aStatus)
{
  switch (aStatus) {
    case HTTPResponse::HTTP_OK:
      return Verdict::Accepted;
    case HTTPResponse::HTTP_UNAUTHORIZED:
    case HTTPResponse::HTTP_NOT_FOUND:
      return Verdict::Denied;
    default:
      return Verdict::Open;
  }
}

/// Sends the request and reads its response into aLine.
void
Exchange(HTTPClientSession& aSession,
         RequestLine& aLine,
         const std::string& aQuery)
{
  HTTPRequest request(HTTPRequest::HTTP_POST,
                      PathOfProbe(aLine.mProbe, aLine.mVersion) + aQuery,
                      HTTPRequest::HTTP_1_1);
  request.setHost(kHost);
  request.set(wire::kRequestId, std::to_string(aLine.mId));
  request.set(wire::kDeadline, std::to_string(kTimeoutMillis));
  request.setContentLength(0);
  if (aLine.mProbe == Probe::Key) {
    request.set("Authorization", "Bearer " + KeyOfVersion(aLine.mVersion));
  }
  aSession.sendRequest(request);
  HTTPResponse response;
  std::istream& in = aSession.receiveResponse(response);
  std::string body;
  Poco::StreamCopier::copyToString(in, body);
  aLine.mStatus = response.getStatus();
  aLine.mVerdict = VerdictOf(aLine.mStatus);
  if (aLine.mVerdict == Verdict::Accepted) {
    aLine.mTarget = response.get(wire::kServerStamp, "");
    aLine.mService = std::strtoul(body.c_str(), nullptr, 10);
    aLine.mIsOwnAnswer =
      body == AnswerBody(aLine.mService, aLine.mId) &&
      response.get(wire::kRequestId, "") == std::to_string(aLine.mId);
  }
  if (response.has(wire::kServerLeaving)) {
    aLine.mLeavingTarget = response.get(wire::kServerStamp, "");
  }
}

} // namespace

Caller::Caller(Options aOptions,
               const Operator& aOperator,
               std::atomic<uint64_t>& aNextId,
               const Timeline& aTimeline,
               Recorder& aRecorder)
  : mOptions(std::move(aOptions))
  , mOperator(aOperator)
  , mNextId(aNextId)
  , mTimeline(aTimeline)
  , mRecorder(aRecorder)
  , mRandom(mOptions.mSeed)
{
}

RequestLine
Caller::MakeRequest()
{
  RequestLine line;
  line.mId = mNextId++;
  line.mNode = mOptions.mNode;
  line.mProbe = static_cast<Probe>(
    std::uniform_int_distribution<int>(0, kProbes - 1)(mRandom));
  const uint64_t newest = mOperator.NewestAcked();
  line.mVersion = newest;
  const uint64_t back =
    std::uniform_int_distribution<uint64_t>(2, kOldestAsked)(mRandom);
  const bool asksForOld = std::bernoulli_distribution(0.3)(mRandom);
  if (asksForOld && newest > back) {
    line.mVersion = newest - back;
  }
  return line;
}

void
Caller::Run(const std::atomic<bool>& aStopping)
{
  HTTPClientSession session(mOptions.mHost, mOptions.mPort);
  session.setKeepAlive(true);
  session.setTimeout(
    Poco::Timespan(kTimeoutMillis * Poco::Timespan::MILLISECONDS));
  while (!aStopping) {
    Send(session, MakeRequest(), "");
    std::this_thread::sleep_for(kPause);
  }
}

void
Caller::SendCrash(bool aVariesQuery)
{
  HTTPClientSession session(mOptions.mHost, mOptions.mPort);
  session.setTimeout(
    Poco::Timespan(kTimeoutMillis * Poco::Timespan::MILLISECONDS));
  RequestLine line;
  line.mId = mNextId++;
  line.mNode = mOptions.mNode;
  line.mProbe = Probe::Crash;
  const std::string query =
    aVariesQuery && std::bernoulli_distribution(0.5)(mRandom)
      ? "?page=" + std::to_string(line.mId)
      : "";
  Send(session, line, query);
}

void
Caller::Send(HTTPClientSession& aSession,
             RequestLine aLine,
             const std::string& aQuery)
{
  aLine.mSentAt = mTimeline.Now();
  try {
    Exchange(aSession, aLine, aQuery);
  } catch (const std::exception&) {
    // Recorded as open: the node is away, or didn't answer in time.
    aSession.reset();
  }
  aLine.mEndedAt = mTimeline.Now();
  aLine.mNewestWritten = mOperator.NewestWritten();
  mRecorder.Record(aLine);
}

} // namespace hibiscushold::emulator
