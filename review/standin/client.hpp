#pragma once

/// Stand-in of clients (PROTOCOL.md, "Requests" and "Answers"): kept channels,
/// each attempt with its own id.

#include "workers.hpp"

namespace kit {

/// Outcome of one attempt.
struct Outcome
{
  int mStatus = 0; ///< 0: the channel closed without an answer
  bool mTimedOut = false;
  std::string mBody;
};

/// Counts of what clients saw.
struct Seen
{
  std::atomic<size_t> mSent{ 0 };
  std::atomic<size_t> mServed{ 0 };
  std::atomic<size_t> mRefused{ 0 };    ///< 429 or 503
  std::atomic<size_t> mFailed{ 0 };     ///< other statuses
  std::atomic<size_t> mUnanswered{ 0 }; ///< closed without an answer, or silent
  std::atomic<size_t> mLostAtWork{ 0 }; ///< of these, a worker had it
};

inline std::string
NextId()
{
  static std::atomic<uint64_t> next{ 1 };
  char text[32];
  std::snprintf(text,
                sizeof(text),
                "%016llx",
                static_cast<unsigned long long>(0x9c410000ULL + next++));
  return text;
}

/// A client with one kept channel to a node, which sends the next request once
/// the one before has ended.
class Client
{
public:
  Client(int aPort, Runs& aRuns, Record& aRecord, Seen& aSeen)
    : mPort(aPort)
    , mRuns(aRuns)
    , mRecord(aRecord)
    , mSeen(aSeen)
  {
  }

  Outcome Send(const std::string& aMethod,
               const std::string& aPath,
               const std::string& aFields,
               const std::string& aBody,
               int aDeadlineMs)
  {
    Outcome outcome;
    if (!mConnection) {
      mConnection = ConnectTo(mPort);
      mIsKept = false;
      if (!mConnection) {
        return outcome;
      }
    }
    const std::string id = NextId();
    const std::string length =
      aBody.empty()
        ? ""
        : "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
    ++mSeen.mSent;
    mRecord.Line("client sends %s %s %s%s",
                 id.c_str(),
                 aMethod.c_str(),
                 aPath.c_str(),
                 mIsKept ? " on a kept channel" : "");
    const bool sent =
      mConnection->Send(aMethod + " " + aPath +
                        " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
                        "\r\nDeadline-Ms: " + std::to_string(aDeadlineMs) +
                        "\r\nAuthorization: Bearer key-of-desk\r\n" + aFields +
                        length + "\r\n" + aBody);
    const std::optional<Message> reply =
      sent ? mConnection->Read(NowMs() + aDeadlineMs + 1000)
           : std::optional<Message>();
    if (reply) {
      outcome.mStatus = reply->Status();
      outcome.mBody = reply->mBody;
      Count(outcome.mStatus);
    } else {
      outcome.mTimedOut = mConnection->TimedOut();
      ++mSeen.mUnanswered;
      if (mRuns.Count(id) > 0) {
        ++mSeen.mLostAtWork;
      }
    }
    mRecord.Line("client got %s: %s%s",
                 id.c_str(),
                 reply               ? std::to_string(outcome.mStatus).c_str()
                 : outcome.mTimedOut ? "no answer"
                                     : "closed, no answer",
                 !reply && mRuns.Count(id) > 0 ? ", and a worker had begun it"
                                               : "");
    if (!reply || Lower(reply->Get("Connection")) == "close") {
      mConnection.reset();
    }
    mIsKept = true;
    return outcome;
  }

private:
  void Count(int aStatus)
  {
    if (aStatus >= 200 && aStatus < 300) {
      ++mSeen.mServed;
    } else if (aStatus == 429 || aStatus == 503) {
      ++mSeen.mRefused;
    } else {
      ++mSeen.mFailed;
    }
  }

  const int mPort;
  Runs& mRuns;
  Record& mRecord;
  Seen& mSeen;
  std::unique_ptr<Connection> mConnection;
  bool mIsKept = false;
};

} // namespace kit
