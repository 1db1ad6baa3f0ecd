#include "emulator/caller.h"

#include "core/bodyreader.h"
#include "emulator/configs.h"
#include "emulator/oddhead.h"
#include "platform/wirenames.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <thread>

namespace hibiscushold::emulator {

namespace {

using Poco::Net::HTTPResponse;

constexpr auto kPause = milliseconds(20);
constexpr auto kTimeout = milliseconds(2000);
constexpr int kProbes = static_cast<int>(Probe::Once) + 1;
/// One of so many requests is for a stream.
constexpr uint64_t kProbesPerStream = 3;
/// Versions whose keys and routes are gone, that are asked for.
constexpr uint64_t kOldestAsked = 4;
/// One of so many requests is followed by a malformed one.
constexpr uint64_t kProbesPerMalformed = 5;
constexpr const char* kMethod = "POST";

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

std::string
ReadAll(HttpSession& aSession, const ResponseHead& aHead)
{
  BodyReader reader(aSession, aHead);
  std::string body;
  std::array<char, 16384> buf;
  for (size_t n = reader.Read(buf); n > 0; n = reader.Read(buf)) {
    body.append(buf.data(), n);
  }
  return body;
}

/// Sends the request and reads its response into aLine. A plain answer counts
/// once it is whole, a stream once it has begun.
void
Exchange(HttpSession& aSession, RequestLine& aLine, const std::string& aQuery)
{
  std::vector<HttpField> fields{
    { "Host", kHost },
    { wire::kRequestId, std::to_string(aLine.mId) },
    { wire::kDeadline, std::to_string(kTimeout.count()) },
    { kNoteField, OddNote(aLine.mId) },
  };
  const std::string uri = PathOfProbe(aLine.mProbe, aLine.mVersion) + aQuery;
  const std::string note = fields.back().mValue;
  aLine.mDigest = DigestOf(kMethod, uri, { &note, 1 });
  if (aLine.mProbe == Probe::Key) {
    fields.push_back(
      { "Authorization", "Bearer " + KeyOfVersion(aLine.mVersion) });
  }
  const Result<void> sent = aSession.SendRequest(kMethod, uri, fields, "");
  if (!sent) {
    throw Poco::Net::MessageException(sent.error().mDetail);
  }
  const ResponseHead head = aSession.ReceiveHead();
  if (aLine.mProbe == Probe::Stream) {
    aLine.mStatus = head.mStatus;
  }
  const std::string body = ReadAll(aSession, head);
  aLine.mStatus = head.mStatus;
  aLine.mVerdict = VerdictOf(aLine.mStatus);
  const std::string stamp = FindField(head, wire::kServerStamp).value_or("");
  if (aLine.mVerdict == Verdict::Accepted) {
    aLine.mTarget = stamp;
    aLine.mService = std::strtoul(body.c_str(), nullptr, 10);
    const std::string expected = aLine.mProbe == Probe::Stream
                                   ? StreamBody(aLine.mId, 0)
                                   : AnswerBody(aLine.mService, aLine.mId);
    aLine.mIsOwnAnswer =
      body == expected &&
      FindField(head, wire::kRequestId) == std::to_string(aLine.mId);
  }
  if (FindField(head, wire::kServerLeaving)) {
    aLine.mLeavingTarget = stamp;
  }
  if (!head.mKeepsConnection) {
    aSession.reset();
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
  if (mOptions.mAsksForStreams && line.mId % kProbesPerStream == 0) {
    line.mProbe = Probe::Stream;
  }
  return line;
}

void
Caller::Run(const std::atomic<bool>& aStopping)
{
  HttpSession session(Address(), mClock, nullptr);
  while (!aStopping) {
    Send(session, MakeRequest(), "");
    if (mOptions.mSendsMalformed && std::uniform_int_distribution<uint64_t>(
                                      1, kProbesPerMalformed)(mRandom) == 1) {
      SendMalformed();
    }
    std::this_thread::sleep_for(kPause);
  }
}

Endpoint
Caller::Address() const
{
  return { mOptions.mHost, mOptions.mPort };
}

void
Caller::SendCrash(bool aVariesQuery)
{
  HttpSession session(Address(), mClock, nullptr);
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
Caller::SendMalformed()
{
  HttpSession session(Address(), mClock, nullptr);
  RequestLine line;
  line.mId = mNextId++;
  line.mNode = mOptions.mNode;
  line.mProbe = Probe::Once;
  line.mIsMalformed = true;
  line.mSentAt = mTimeline.Now();
  try {
    if (Connect(session, Address(), kTimeout)) {
      session.SendRaw(MalformedRequest(line.mId));
      line.mStatus = session.ReceiveHead().mStatus;
    }
  } catch (const Poco::Exception&) {
    line.mStatus = 0; // recorded as open, like any other that fails
  }
  line.mEndedAt = mTimeline.Now();
  line.mNewestWritten = mOperator.NewestWritten();
  mRecorder.Record(line);
}

void
Caller::Send(HttpSession& aSession,
             RequestLine aLine,
             const std::string& aQuery)
{
  aLine.mSentAt = mTimeline.Now();
  try {
    if (Connect(aSession, Address(), kTimeout)) {
      Exchange(aSession, aLine, aQuery);
    }
  } catch (const Poco::Net::MessageException&) {
    aLine.mIsNoAnswer = true;
    aSession.reset();
  } catch (const std::exception&) {
    // Recorded as open: the node is away, or didn't answer in time.
    aSession.reset();
  }
  aLine.mEndedAt = mTimeline.Now();
  aLine.mNewestWritten = mOperator.NewestWritten();
  mRecorder.Record(aLine);
}

} // namespace hibiscushold::emulator
