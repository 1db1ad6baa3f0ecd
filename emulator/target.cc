#include "emulator/target.h"

#include "emulator/configs.h"
#include "emulator/oddhead.h"
#include "platform/wirenames.h"

#include <sstream>
#include <thread>
#include <utility>

namespace hibiscushold::emulator {

namespace {

constexpr auto kServiceTime = milliseconds(5);
/// Time from an answer to its second copy, in which its connection may be used
/// again.
constexpr auto kCopyDelay = milliseconds(3);
/// Time from the start of a request that ends its target to that end.
constexpr auto kCrashDelay = milliseconds(50);
constexpr int64_t kSecond = 1000;
/// Silence before a reset; a node asks another target meanwhile.
constexpr auto kSilence = milliseconds(900);
constexpr auto kEventInterval = milliseconds(10);
constexpr int kSlots = 8;
constexpr int kMisdirected = 421;
/// Headers of answers that nodes need not know.
constexpr const char* kAtServer = "At-Server";

void
SendBytes(HTTPServerRequest& aRequest, const std::string& aBytes)
{
  standin::SocketOf(aRequest).sendBytes(aBytes.data(),
                                        static_cast<int>(aBytes.size()));
}

uint64_t
DigestOfRequest(const HTTPServerRequest& aRequest)
{
  std::vector<std::string> notes;
  for (const auto& [name, value] : aRequest) {
    if (name == kNoteField) {
      notes.push_back(value);
    }
  }
  return DigestOf(aRequest.getMethod(), aRequest.getURI(), notes);
}

/// Sends the response once more on the same connection.
/// @param aResponse the response that was sent
void
SendCopy(HTTPServerRequest& aRequest,
         const HTTPServerResponse& aResponse,
         const std::string& aBody)
{
  std::ostringstream out;
  aResponse.write(out);
  SendBytes(aRequest, out.str() + aBody);
}

/// Sends a head that is none of an answer, and a body.
/// @param aNumber chooses what is wrong with it
void
SendNoAnswer(HTTPServerRequest& aRequest,
             const HTTPServerResponse& aResponse,
             const std::string& aBody,
             size_t aNumber)
{
  const std::string length =
    "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  const std::string starts[] = {
    "HTTP/1.1 000 X\r\n" + length,
    "HTTP/1.1 200 OK\r\nNa me: x\r\n" + length,
    "HTTP/1.1 200 OK\r\nNa\x01me: x\r\n" + length,
    "HTTP/1.1 200 OK\r\nContent- Length: 5\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + length,
  };
  std::string bytes = starts[aNumber % std::size(starts)];
  for (const char* it : { wire::kRequestId, wire::kServerStamp }) {
    bytes += std::string(it) + ": " + aResponse.get(it) + "\r\n";
  }
  SendBytes(aRequest, bytes + "\r\n" + aBody);
}

} // namespace

TargetAddress::TargetAddress(double aFatalColdRate,
                             const Timeline& aTimeline,
                             Recorder& aRecorder)
  : mFatalColdRate(aFatalColdRate)
  , mTimeline(aTimeline)
  , mRecorder(aRecorder)
  , mServer(0,
            [this](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
              Handle(aRequest, aResponse);
            })
{
}

void
TargetAddress::Start(Target aTarget)
{
  const std::lock_guard guard(mLock);
  mOccupant = std::move(aTarget);
}

void
TargetAddress::Leave()
{
  const std::lock_guard guard(mLock);
  if (mOccupant) {
    mOccupant->mIsLeaving = true;
    ++mOccupant->mSequence;
  }
}

void
TargetAddress::Beat()
{
  const std::lock_guard guard(mLock);
  if (mOccupant) {
    ++mOccupant->mSequence;
  }
}

void
TargetAddress::TurnCold(int64_t aUntil)
{
  const std::lock_guard guard(mLock);
  if (mOccupant) {
    mOccupant->mColdUntil = aUntil;
    ++mOccupant->mSequence;
  }
}

bool
TargetAddress::IsOverrun()
{
  const std::lock_guard guard(mLock);
  const int64_t now = mTimeline.Now();
  mColdArrivals.push_back(now);
  while (mColdArrivals.front() <= now - kSecond) {
    mColdArrivals.pop_front();
  }
  return static_cast<double>(mColdArrivals.size()) > mFatalColdRate;
}

void
TargetAddress::End()
{
  const std::lock_guard guard(mLock);
  mOccupant.reset();
}

std::optional<size_t>
TargetAddress::TakeCrashed()
{
  const std::lock_guard guard(mLock);
  return std::exchange(mCrashedService, std::nullopt);
}

void
TargetAddress::Crash(const std::string& aTarget)
{
  std::this_thread::sleep_for(kCrashDelay);
  const std::lock_guard guard(mLock);
  if (mOccupant && mOccupant->mId == aTarget) {
    mCrashedService = mOccupant->mService;
    mOccupant.reset();
  }
}

std::optional<Target>
TargetAddress::Occupant() const
{
  const std::lock_guard guard(mLock);
  return mOccupant;
}

Json::Value
TargetAddress::EntryOf(const Target& aTarget) const
{
  Json::Value entry;
  entry["service"] = ServiceName(aTarget.mService);
  entry["addr"] = ToString(mServer.Address());
  entry["zone"] = aTarget.mZone;
  const int64_t coldTime = aTarget.mColdUntil - mTimeline.Now();
  if (coldTime > 0) {
    entry["cold_left_ms"] = Json::Int64(coldTime);
  }
  entry["version"] = 1;
  entry["slots"] = kSlots;
  entry["state"] = aTarget.mIsLeaving ? "draining" : "ready";
  entry["seq"] = Json::UInt64(aTarget.mSequence);
  entry["born"] = Json::UInt64(aTarget.mBorn);
  return entry;
}

void
TargetAddress::Handle(HTTPServerRequest& aRequest,
                      HTTPServerResponse& aResponse)
{
  const std::string id = aRequest.get(wire::kRequestId, "0");
  standin::ReadBody(aRequest);
  const std::optional<Target> target = Occupant();
  if (!target) {
    standin::CutConnection(aRequest);
    return;
  }
  aResponse.set(wire::kRequestId, id);
  if (target->mIsLeaving && target->mAnnouncesLeaving) {
    aResponse.set(wire::kServerLeaving, "1");
  }
  if (aRequest.get(wire::kExpectVm, target->mId) != target->mId) {
    aResponse.set(wire::kNotRun, "1");
    aResponse.set(kAtServer, target->mId);
    standin::SendReply(aResponse, kMisdirected, "{}");
    return;
  }
  const int64_t now = mTimeline.Now();
  const bool isCold = now < target->mColdUntil;
  mRecorder.Record(ArrivalLine{ std::stoull(id),
                                target->mId,
                                now,
                                target->mZone,
                                isCold,
                                DigestOfRequest(aRequest) });
  if (IsCrashPath(aRequest.getURI()) || (isCold && IsOverrun())) {
    Crash(target->mId);
    standin::CutConnection(aRequest);
    return;
  }
  std::this_thread::sleep_for(kServiceTime);
  aResponse.set(wire::kServerStamp, target->mId);
  if (IsStreamPath(aRequest.getURI())) {
    Stream(aRequest, aResponse, std::stoull(id));
    return;
  }
  Answer(aRequest, aResponse, AnswerBody(target->mService, std::stoull(id)));
}

void
TargetAddress::Answer(HTTPServerRequest& aRequest,
                      HTTPServerResponse& aResponse,
                      const std::string& aBody)
{
  switch (mAnswerFault) {
    case AnswerFault::None:
      standin::SendReply(aResponse, 200, aBody);
      return;
    case AnswerFault::SecondCopy:
      standin::SendReply(aResponse, 200, aBody);
      std::this_thread::sleep_for(kCopyDelay);
      SendCopy(aRequest, aResponse, aBody);
      return;
    case AnswerFault::BrokenOff: {
      aResponse.setContentLength(static_cast<std::streamsize>(aBody.size()));
      std::ostream& out = aResponse.send();
      out.write(aBody.data(), static_cast<std::streamsize>(aBody.size() / 2));
      out.flush();
      break;
    }
    case AnswerFault::OpenReset:
      ResetOpenAnswer(aRequest, aResponse, aBody.substr(0, aBody.size() / 2));
      return;
    case AnswerFault::NoAnswer:
      SendNoAnswer(aRequest, aResponse, aBody, mNoAnswers++);
      break;
    case AnswerFault::Lost:
      break;
  }
  standin::CutConnection(aRequest);
}

void
TargetAddress::Stream(HTTPServerRequest& aRequest,
                      HTTPServerResponse& aResponse,
                      uint64_t aId)
{
  const uint64_t last = std::stoull(aRequest.get(wire::kLastEventId, "0"));
  aResponse.setContentType("text/event-stream");
  switch (mAnswerFault) {
    case AnswerFault::OpenReset:
      // A resumed stream has no event, so that the first target keeps it.
      ResetOpenAnswer(
        aRequest, aResponse, last == 0 ? StreamEvent(aId, 1) : "");
      return;
    case AnswerFault::NoAnswer:
      SendNoAnswer(aRequest, aResponse, StreamBody(aId, last), mNoAnswers++);
      standin::CutConnection(aRequest);
      return;
    default:
      break;
  }
  aResponse.setChunkedTransferEncoding(true);
  std::ostream& out = aResponse.send();
  for (uint64_t n = last + 1; n <= kStreamEvents; ++n) {
    out << StreamEvent(aId, n) << std::flush;
    std::this_thread::sleep_for(kEventInterval);
  }
}

void
TargetAddress::ResetOpenAnswer(HTTPServerRequest& aRequest,
                               HTTPServerResponse& aResponse,
                               const std::string& aBody)
{
  aResponse.setKeepAlive(false);
  std::ostringstream out;
  aResponse.write(out);
  SendBytes(aRequest, out.str() + aBody);
  std::this_thread::sleep_for(kSilence);
  // The server closes the connection, which resets it.
  standin::SocketOf(aRequest).setLinger(true, 0);
}

} // namespace hibiscushold::emulator
