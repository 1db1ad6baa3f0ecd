#include "emulator/lines.h"

#include <json/writer.h>

namespace hibiscushold::emulator {

namespace {

void
WriteLine(std::ofstream& aFile, const char* aKind, Json::Value aJson)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  aJson["line"] = aKind;
  aFile << Json::writeString(builder, aJson) << '\n';
}

} // namespace

const char*
NameOf(Probe aProbe)
{
  switch (aProbe) {
    case Probe::Key:
      return "key";
    case Probe::Route:
      return "route";
    case Probe::Moved:
      return "moved";
    case Probe::Once:
      return "once";
    case Probe::Crash:
      return "crash";
    case Probe::Stream:
      return "stream";
  }
  return "";
}

const char*
NameOf(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Accepted:
      return "accepted";
    case Verdict::Denied:
      return "denied";
    case Verdict::Open:
      return "open";
  }
  return "";
}

const char*
NameOf(DisturbanceLine::Kind aKind)
{
  switch (aKind) {
    case DisturbanceLine::Kind::Store:
      return "store";
    case DisturbanceLine::Kind::Cut:
      return "cut";
    case DisturbanceLine::Kind::Freeze:
      return "freeze";
    case DisturbanceLine::Kind::Start:
      return "start";
    case DisturbanceLine::Kind::Stop:
      return "stop";
  }
  return "";
}

Recorder::Recorder(const std::string& aPath)
  : mFile(aPath)
{
}

void
Recorder::Record(const RequestLine& aLine)
{
  Json::Value json;
  json["id"] = Json::UInt64(aLine.mId);
  json["node"] = Json::UInt64(aLine.mNode);
  json["probe"] = NameOf(aLine.mProbe);
  json["version"] = Json::UInt64(aLine.mVersion);
  json["sent_ms"] = Json::Int64(aLine.mSentAt);
  json["ended_ms"] = Json::Int64(aLine.mEndedAt);
  json["verdict"] = NameOf(aLine.mVerdict);
  json["status"] = aLine.mStatus;
  json["target"] = aLine.mTarget;
  json["own"] = aLine.mIsOwnAnswer;
  json["no_answer"] = aLine.mIsNoAnswer;
  json["service"] = Json::UInt64(aLine.mService);
  json["leaving"] = aLine.mLeavingTarget;
  json["digest"] = Json::UInt64(aLine.mDigest);
  json["malformed"] = aLine.mIsMalformed;
  json["newest_written"] = Json::UInt64(aLine.mNewestWritten);
  const std::lock_guard guard(mLock);
  WriteLine(mFile, "request", std::move(json));
  mLines.mRequests.push_back(aLine);
}

void
Recorder::Record(const ArrivalLine& aLine)
{
  Json::Value json;
  json["id"] = Json::UInt64(aLine.mId);
  json["target"] = aLine.mTarget;
  json["at_ms"] = Json::Int64(aLine.mAt);
  json["zone"] = aLine.mZone;
  json["cold"] = aLine.mIsCold;
  json["digest"] = Json::UInt64(aLine.mDigest);
  const std::lock_guard guard(mLock);
  WriteLine(mFile, "arrival", std::move(json));
  mLines.mArrivals.push_back(aLine);
}

void
Recorder::Record(const VersionLine& aLine)
{
  Json::Value json;
  json["version"] = Json::UInt64(aLine.mVersion);
  json["acked_ms"] = Json::Int64(aLine.mAckedAt);
  const std::lock_guard guard(mLock);
  WriteLine(mFile, "version", std::move(json));
  mLines.mVersions.push_back(aLine);
}

void
Recorder::Record(const LeavingLine& aLine)
{
  Json::Value json;
  json["target"] = aLine.mTarget;
  json["acked_ms"] = Json::Int64(aLine.mAckedAt);
  const std::lock_guard guard(mLock);
  WriteLine(mFile, "leaving", std::move(json));
  mLines.mLeavings.push_back(aLine);
}

void
Recorder::Record(const DisturbanceLine& aLine)
{
  Json::Value json;
  json["kind"] = NameOf(aLine.mKind);
  json["node"] = Json::UInt64(aLine.mNode);
  json["from_ms"] = Json::Int64(aLine.mFrom);
  json["until_ms"] = Json::Int64(aLine.mUntil);
  const std::lock_guard guard(mLock);
  WriteLine(mFile, "disturbance", std::move(json));
  mLines.mDisturbances.push_back(aLine);
}

void
Recorder::Record(const EndLine& aLine)
{
  Json::Value json;
  json["node"] = Json::UInt64(aLine.mNode);
  json["how"] = aLine.mHow;
  json["at_ms"] = Json::Int64(aLine.mAt);
  const std::lock_guard guard(mLock);
  WriteLine(mFile, "end", std::move(json));
  mLines.mEnds.push_back(aLine);
}

void
Recorder::Record(const ZoneLine& aLine)
{
  Json::Value json;
  json["zone"] = aLine.mZone;
  json["acked_ms"] = Json::Int64(aLine.mAckedAt);
  json["back_ms"] = Json::Int64(aLine.mBackAt);
  const std::lock_guard guard(mLock);
  WriteLine(mFile, "zone", std::move(json));
  mLines.mZones.push_back(aLine);
}

Lines
Recorder::All() const
{
  const std::lock_guard guard(mLock);
  return mLines;
}

} // namespace hibiscushold::emulator
