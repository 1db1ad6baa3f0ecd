#include "gateway/run.h"

#include "core/random.h"
#include "fleet/shedding.h"
#include "observe/events.h"

#include <thread>

namespace hibiscushold {

namespace {

/// Targets that refuse a connection cost nothing but time.
constexpr int kMaxConnectFailures = 3;
/// Opening a connection takes two crossings of a zone and some milliseconds.
constexpr auto kConnectLimit = milliseconds(150);
/// Part of its latency target that a plain answer may take before it is asked
/// of another target.
constexpr double kPlainPatience = 0.6;
/// A head that stood still takes no new request for so long.
constexpr auto kStallAvoid = milliseconds(1500);
/// An address that another VM has taken is left alone for so long.
constexpr auto kWrongVmAvoid = milliseconds(1000);
/// A broken stream waits so long for a group that can go on with it; callers
/// leave a stream that pauses for two seconds.
constexpr auto kResumeWait = milliseconds(1300);
constexpr auto kResumePoll = milliseconds(50);
/// A group that lost a VM is formed again in about a second.
constexpr uint32_t kNoGroupRetryMillis = 900;
constexpr uint32_t kFullRetryMillis = 250;

bool
IsUnrunStatus(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

/// Carries one request from try to try.
class RequestRun final : public StreamSink
{
public:
  RequestRun(const GatewayParts& aParts,
             const GatewayRequest& aRequest,
             CallerPort& aPort)
    : mParts(aParts)
    , mRequest(aRequest)
    , mPort(aPort)
    , mLastEvent(aRequest.mLastEvent)
  {
  }

  Answerable<void> Run()
  {
    mParts.mRepeats.AddRequest(mRequest.mService, mParts.mClock.Now());
    for (;;) {
      const FleetTargetsPtr targets = mParts.mTargets();
      const FleetTarget* target = Choose(*targets);
      if (target == nullptr && mPort.HasStarted() && MayWait()) {
        std::this_thread::sleep_for(kResumePoll);
        continue;
      }
      if (target == nullptr) {
        return Fail(RefusalKind::NoTarget, kNoGroupRetryMillis);
      }
      // On a busy node the caller may have left before its turn came.
      if (mPort.IsGone()) {
        mPort.Abort();
        return boost::outcome_v2::success();
      }
      if (mSends == 0 && mRequest.mRoute->mRepeats == Repeats::Stream) {
        BOOST_OUTCOME_TRY(AdmitOrShed(*target));
      }
      if (mSends > 0 &&
          !mParts.mRepeats.TakeRepeat(mRequest.mService, mParts.mClock.Now())) {
        mParts.mMetrics.CountDenial("repeat_budget");
        return Fail(RefusalKind::TargetFailed, kFullRetryMillis);
      }
      ExchangeReport report = Try(*target);
      Note(*target, report);
      if (const auto end = Conclude(*target, report)) {
        return *end;
      }
    }
  }

  bool OnHead(int aStatus, const std::vector<HttpField>& aFields) override
  {
    if (mPort.HasStarted()) {
      return true; // resumed at another target
    }
    mParts.mMetrics.ObserveLatency("first",
                                   mParts.mClock.Now() - mRequest.mArrivedAt);
    return mPort.StartStream(aStatus, aFields);
  }

  bool OnEvents(std::string_view aEvents) override
  {
    return mPort.SendPart(aEvents);
  }

  bool IsCallerGone() override { return mPort.IsGone(); }

private:
  const FleetTarget* Choose(const FleetTargets& aTargets)
  {
    const auto found = aTargets.mByService.find(mRequest.mService);
    if (found == aTargets.mByService.end() || found->second.empty()) {
      return nullptr;
    }
    const bool engines = !found->second.front().mModel.empty();
    const ChoiceInput input{ mParts.mZone,
                             engines ? std::string_view(mRequest.mModel) : "",
                             mParts.mClock.Now(),
                             NextFraction() };
    return ChooseTarget(found->second, mParts.mLoads, input, mTried);
  }

  /// Refuses at once what would only be late, when its turn comes.
  Answerable<void> AdmitOrShed(const FleetTarget& aTarget)
  {
    const TimePoint now = mParts.mClock.Now();
    const double expected =
      ExpectedFirstMillis(mParts.mLoads.Get(aTarget.mVmId), now);
    if (NextFraction() >=
        ShedChance(expected, mRequest.mRoute->mLatencyTarget)) {
      return boost::outcome_v2::success();
    }
    mParts.mMetrics.CountDenial("expected_wait");
    const milliseconds back =
      ComeBackAfter(expected, TimeLeft(mRequest.mDeadline, now));
    return Refusal{ RefusalKind::Overloaded,
                    "a first event is expected after " +
                      std::to_string(static_cast<int>(expected)) + " ms",
                    Ran::No,
                    static_cast<uint32_t>(back.count()) };
  }

  bool MayWait()
  {
    const TimePoint now = mParts.mClock.Now();
    if (!mWaitsUntil) {
      mWaitsUntil = now + kResumeWait;
    }
    return now < std::min(*mWaitsUntil, mRequest.mDeadline) && !mPort.IsGone();
  }

  ExchangeReport Try(const FleetTarget& aTarget)
  {
    mInFlight = mParts.mLoads.Get(aTarget.mVmId).mInFlight;
    const TimePoint now = mParts.mClock.Now();
    const bool stream = mRequest.mRoute->mRepeats == Repeats::Stream;
    // What must not run twice takes no connection that may have gone stale.
    ExchangeRequest exchange{ aTarget,
                              mRequest.mMethod,
                              mRequest.mUri,
                              mRequest.mFields,
                              mRequest.mBody,
                              mRequest.mId,
                              mRequest.mDeadline,
                              mRequest.mDeadline,
                              kConnectLimit,
                              mLastEvent,
                              !mRequest.MayRepeat(),
                              stream,
                              mRequest.mPromptTokens };
    if (mLastEvent > 0) {
      exchange.mFields.push_back(
        { mParts.mDialect.mLastEvent, std::to_string(mLastEvent) });
    }
    if (mRequest.mRoute->mRepeats == Repeats::Idempotent &&
        mSends + 1 < mRequest.mRoute->mAttempts) {
      exchange.mGiveUpAt =
        now + std::chrono::duration_cast<Duration>(
                mRequest.mRoute->mLatencyTarget * kPlainPatience);
    }
    return RunExchange(
      { mParts.mSessions, mParts.mLoads, mParts.mDialect, mParts.mClock },
      exchange,
      *this);
  }

  void Note(const FleetTarget& aTarget, const ExchangeReport& aReport)
  {
    const TimePoint now = mParts.mClock.Now();
    mLastEvent = aReport.mLastEvent;
    switch (aReport.mEnd) {
      case ExchangeEnd::Answered:
        mParts.mLoads.NoteSuccess(aTarget.mVmId);
        return;
      case ExchangeEnd::NotRun:
        mParts.mLoads.NoteFull(aTarget.mVmId, now);
        return;
      case ExchangeEnd::WrongVm:
        mParts.mLoads.Avoid(aTarget.mVmId, now + kWrongVmAvoid);
        return;
      case ExchangeEnd::Stalled:
        if (mRequest.mRoute->mRepeats == Repeats::Stream) {
          mParts.mLoads.Avoid(aTarget.mVmId, now + kStallAvoid);
        } else {
          mParts.mLoads.NoteFailure(aTarget.mVmId, now);
        }
        return;
      case ExchangeEnd::ConnectFailed:
      case ExchangeEnd::Broken:
      case ExchangeEnd::Invalid:
        if (!aReport.mReused) {
          mParts.mLoads.NoteFailure(aTarget.mVmId, now);
        }
        mParts.mSessions.DiscardOpenedBefore(aTarget.mAddress, now);
        return;
      case ExchangeEnd::Deadline:
      case ExchangeEnd::CallerGone:
        return;
    }
  }

  /// @return the end of the request, or nothing when another target is next
  std::optional<Answerable<void>> Conclude(const FleetTarget& aTarget,
                                           ExchangeReport& aReport)
  {
    LogTry(aTarget, aReport);
    switch (aReport.mEnd) {
      case ExchangeEnd::CallerGone:
        mPort.Abort();
        return boost::outcome_v2::success();
      case ExchangeEnd::Answered:
        if (aReport.mStreamed) {
          return EndStream();
        }
        break;
      default:
        break;
    }
    const bool unsent =
      aReport.mEnd == ExchangeEnd::ConnectFailed ||
      (aReport.mSentBytes == 0 && aReport.mEnd == ExchangeEnd::Broken);
    if (unsent) {
      if (++mConnectFailures >= kMaxConnectFailures) {
        return Fail(RefusalKind::NoTarget, kFullRetryMillis);
      }
      // A stale connection says nothing against its target.
      if (!aReport.mReused) {
        mTried.insert(aTarget.mVmId);
      }
      return std::nullopt;
    }
    ++mSends;
    const bool unrun = aReport.mEnd == ExchangeEnd::NotRun ||
                       aReport.mEnd == ExchangeEnd::WrongVm;
    mMayHaveRun = mMayHaveRun || !unrun;
    if (MayTryAgain(aReport)) {
      mTried.insert(aTarget.mVmId);
      return std::nullopt;
    }
    return Finish(aReport);
  }

  bool MayTryAgain(const ExchangeReport& aReport) const
  {
    if (aReport.mEnd == ExchangeEnd::Deadline ||
        mSends >= mRequest.mRoute->mAttempts ||
        mParts.mClock.Now() >= mRequest.mDeadline) {
      return false;
    }
    if (aReport.mEnd == ExchangeEnd::Answered) {
      return aReport.mReply.mStatus >= 500 && mRequest.MayRepeat();
    }
    return !mMayHaveRun || mRequest.MayRepeat();
  }

  Answerable<void> Finish(ExchangeReport& aReport)
  {
    switch (aReport.mEnd) {
      case ExchangeEnd::Answered:
        return PassOn(aReport.mReply);
      case ExchangeEnd::Deadline:
        return Fail(RefusalKind::DeadlinePassed, 0);
      case ExchangeEnd::NotRun:
      case ExchangeEnd::WrongVm:
        return Fail(RefusalKind::Overloaded, kFullRetryMillis);
      default:
        return Fail(RefusalKind::TargetFailed, 0);
    }
  }

  Answerable<void> PassOn(const PlainReply& aReply)
  {
    if (mPort.HasStarted()) {
      return Fail(RefusalKind::TargetFailed, 0);
    }
    // Such a status would promise the caller that the request did not run.
    if (!mRequest.MayRepeat() && IsUnrunStatus(aReply.mStatus)) {
      return Fail(RefusalKind::TargetFailed, 0);
    }
    mParts.mMetrics.CountAnswer(aReply.mStatus);
    mParts.mMetrics.ObserveLatency("last",
                                   mParts.mClock.Now() - mRequest.mArrivedAt);
    mPort.SendWhole(aReply.mStatus, aReply.mFields, aReply.mBody);
    return boost::outcome_v2::success();
  }

  Answerable<void> EndStream()
  {
    mPort.EndStream();
    mParts.mMetrics.CountAnswer(200);
    mParts.mMetrics.ObserveLatency("last",
                                   mParts.mClock.Now() - mRequest.mArrivedAt);
    return boost::outcome_v2::success();
  }

  /// A kind that promises that the request did not run becomes one that
  /// promises nothing when it may have run.
  Answerable<void> Fail(RefusalKind aKind, uint32_t aRetryMillis)
  {
    if (mPort.IsGone()) {
      mPort.Abort();
      return boost::outcome_v2::success();
    }
    if (!mMayHaveRun) {
      const RefusalKind kind =
        StatusOf(aKind) == 503 ? aKind : RefusalKind::NoTarget;
      return Refusal{
        kind, "no target took the request", Ran::No, RetryAfter(aRetryMillis)
      };
    }
    const RefusalKind kind =
      StatusOf(aKind) == 503 ? RefusalKind::TargetFailed : aKind;
    return Refusal{ kind, "the target did not answer", Ran::Unknown, 0 };
  }

  uint32_t RetryAfter(uint32_t aMillis) const
  {
    return std::max(aMillis, kFullRetryMillis);
  }

  void LogTry(const FleetTarget& aTarget, const ExchangeReport& aReport)
  {
    if (aReport.mEnd != ExchangeEnd::Answered) {
      mParts.mMetrics.CountRetry(NameOf(aReport.mEnd));
    }
    const Duration took = mParts.mClock.Now() - mRequest.mArrivedAt;
    LogEvent(EventId::RequestTried,
             { { "request", mRequest.mId },
               { "route", mRequest.mRoute->mName },
               { "vm", aTarget.mVmId },
               { "group", aTarget.mGroup.mName },
               { "end", NameOf(aReport.mEnd) },
               { "status", std::to_string(aReport.mReply.mStatus) },
               { "last_event", std::to_string(aReport.mLastEvent) },
               { "first_ms", std::to_string(ToMillis(aReport.mFirstWait)) },
               { "gap_ms", std::to_string(ToMillis(aReport.mLongestGap)) },
               { "ms", std::to_string(ToMillis(took)) },
               { "prompt", std::to_string(mRequest.mPromptTokens) },
               { "in_flight", std::to_string(mInFlight) },
               { "version", std::to_string(mRequest.mConfig->mVersion) },
               { "detail", aReport.mDetail } });
  }

  const GatewayParts& mParts;
  const GatewayRequest& mRequest;
  CallerPort& mPort;
  std::set<std::string> mTried;
  std::optional<TimePoint> mWaitsUntil;
  uint64_t mLastEvent;
  uint32_t mInFlight = 0; ///< at the target when it was chosen
  uint32_t mSends = 0;    ///< targets that got a byte of the request
  int mConnectFailures = 0;
  bool mMayHaveRun = false;
};

} // namespace

Answerable<void>
RunRequest(const GatewayParts& aParts,
           const GatewayRequest& aRequest,
           CallerPort& aPort)
{
  return RequestRun(aParts, aRequest, aPort).Run();
}

} // namespace hibiscushold
