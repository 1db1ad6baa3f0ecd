#pragma once

#include "emulator/lines.h"
#include "emulator/store.h"
#include "standin/server.h"

#include <atomic>
#include <deque>
#include <memory>
#include <optional>

namespace hibiscushold::emulator {

using standin::HTTPServerRequest;
using standin::HTTPServerResponse;

/// A program that serves requests of one service.
struct Target
{
  std::string mId;
  size_t mService = 0;
  uint64_t mBorn = 0; ///< Unix time in ms
  uint64_t mSequence = 1;
  std::string mZone{};
  int64_t mColdUntil = 0; ///< time of the timeline in ms
  bool mIsLeaving = false;
  bool mAnnouncesLeaving = false; ///< in its answers, while it leaves
};

/// How a target spoils its answers.
enum class AnswerFault
{
  None,
  SecondCopy, ///< the answer comes again, a moment later
  BrokenOff,  ///< the connection ends within the body
  Lost,       ///< the connection ends before the answer
  OpenReset,  ///< the body ends with the connection, which is reset within it
  NoAnswer,   ///< the head isn't one of an answer
};

/// An address at which one target after another runs. Thread-safe.
class TargetAddress
{
public:
  /// @param aFatalColdRate requests in a second that end a cold target
  TargetAddress(double aFatalColdRate,
                const Timeline& aTimeline,
                Recorder& aRecorder);

  /// Starts a target here, in place of the one that is here.
  void Start(Target aTarget);
  /// The target says from now on that it leaves.
  void Leave();
  /// The target reports once more.
  void Beat();
  /// The target is cold for a time.
  void TurnCold(int64_t aUntil);
  /// Ends the target; connections to the address are closed from then on.
  void End();

  /// @return the service of a target that has ended by itself since the last
  ///         call
  std::optional<size_t> TakeCrashed();

  /// Spoils the answers from now on.
  void SetAnswerFault(AnswerFault aFault) { mAnswerFault = aFault; }

  std::optional<Target> Occupant() const;

  /// @return the specification of the target's entry in the store
  Json::Value EntryOf(const Target& aTarget) const;

private:
  /// Ends the target a moment after it has begun to work on a request.
  void Crash(const std::string& aTarget);
  /// @return whether the target, which is cold, gets far too many requests
  bool IsOverrun();
  void Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  void Answer(HTTPServerRequest& aRequest,
              HTTPServerResponse& aResponse,
              const std::string& aBody);
  void Stream(HTTPServerRequest& aRequest,
              HTTPServerResponse& aResponse,
              uint64_t aId);
  /// Sends a part of an answer without a length and resets the connection
  /// after a silence, during which another target may be asked.
  static void ResetOpenAnswer(HTTPServerRequest& aRequest,
                              HTTPServerResponse& aResponse,
                              const std::string& aBody);

  const double mFatalColdRate;
  const Timeline& mTimeline;
  Recorder& mRecorder;
  mutable std::mutex mLock; ///< guards the members below
  std::optional<Target> mOccupant;
  std::optional<size_t> mCrashedService;
  std::deque<int64_t> mColdArrivals; ///< within the last second
  std::atomic<AnswerFault> mAnswerFault{ AnswerFault::None };
  std::atomic<size_t> mNoAnswers{ 0 }; ///< that were sent
  standin::Server mServer;
};

} // namespace hibiscushold::emulator
