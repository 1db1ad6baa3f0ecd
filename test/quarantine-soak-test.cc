#include "fleet/quarantine.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace hibiscushold;

namespace {

constexpr auto kStep = milliseconds(5);
constexpr auto kDay = milliseconds(30000);
constexpr auto kReportInterval = milliseconds(70);
constexpr auto kRepeatTime = milliseconds(350);
constexpr auto kStrongInterval = milliseconds(1000);
/// How long a node may take to act on what all nodes together have seen.
constexpr auto kReactionTime = milliseconds(3000);
constexpr auto kDownTime = milliseconds(3000);
constexpr size_t kNodes = 8;
constexpr size_t kTargets = 13;
constexpr TraitId kBadPart = 0xbad;
constexpr TraitId kBadContent = 0xbadc;
constexpr TraitId kBadResource = 0xbad5;
constexpr uint32_t kFirstParts = 60;

enum class Trouble
{
  NewPart,                ///< a part that no sound request has crashes targets
  TurnedPart,             ///< a part that was sound turns bad
  TurnedPartAmongCrashes, ///< the same, while other targets end in series
  Request,  ///< one request that is sent again and again crashes targets
  Resource, ///< the same, with another query each time
  Crashes,  ///< targets end in series, whatever they work on
  Loss,     ///< a third of the targets end together, twice
  Cascade,  ///< half of the targets end shortly after each other, twice
  Resets,   ///< connections are reset while the targets go on
};

struct Running
{
  RequestTraits mTraits;
  bool mCrashes = false;
  size_t mNode = 0;
  uint32_t mAttempts = 1;
  TimePoint mSentAt;
  TimePoint mBeginsAt;
  TimePoint mEndsAt;
};

struct Target
{
  uint64_t mStart = 0; ///< changes with each start
  TimePoint mDownUntil;
  std::vector<Running> mRunning;
};

/// Nodes that exchange reports of which some are lost, and targets that end.
class World
{
public:
  World(uint64_t aSeed, Trouble aTrouble)
    : mRandom(aSeed)
    , mTrouble(aTrouble)
    , mCutUntil(kNodes)
    , mStrongAt(kNodes * kNodes)
  {
    for (size_t n = 0; n < kNodes; ++n) {
      mNodes.push_back(std::make_unique<Quarantine>());
      mStartedAt.emplace_back();
    }
    for (size_t n = 0; n < kTargets; ++n) {
      mTargets.push_back({ ++mStarts, {}, {} });
    }
    mBadFrom = mNow + milliseconds(8000);
    mBadPerSecond =
      std::exp(std::uniform_real_distribution<>(-1.2, 2.1)(mRandom));
    mRepeatsAllowed = Chance(0.5);
  }

  void Run()
  {
    for (const TimePoint end = mNow + kDay; mNow < end; mNow += kStep) {
      Arrive();
      Disturb();
      for (Target& it : mTargets) {
        Work(it);
      }
      if (mNow >= mNextReportAt) {
        mNextReportAt = mNow + kReportInterval;
        Exchange();
      }
    }
  }

  uint32_t mArrivalsAfter = 0; ///< of bad requests, later than allowed
  uint32_t mBadCrashes = 0;
  uint32_t mSoundRefused = 0;
  uint32_t mSound = 0;

private:
  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
  }

  milliseconds Between(int aMin, int aMax)
  {
    return milliseconds(std::uniform_int_distribution<>(aMin, aMax)(mRandom));
  }

  bool HasTurnedPart() const
  {
    return mTrouble == Trouble::TurnedPart ||
           mTrouble == Trouble::TurnedPartAmongCrashes;
  }

  bool IsBadTime() const { return mNow >= mBadFrom; }

  /// @return crashes from which on the time to react runs
  uint32_t AllowedCrashes() const
  {
    return mTrouble == Trouble::Request || mTrouble == Trouble::Resource ? 3
                                                                         : 5;
  }

  /// @return one of the parts that sound requests share, some often
  TraitId FirstPart()
  {
    const double u = std::uniform_real_distribution<>(0, 1)(mRandom);
    const auto n = static_cast<TraitId>(u * u * kFirstParts);
    return n == 17 && HasTurnedPart() ? (IsBadTime() ? TraitId{ 18 } : kBadPart)
                                      : n + 1;
  }

  void Arrive()
  {
    const double perStep = static_cast<double>(kStep.count()) / 1000;
    if (Chance(120 * perStep)) {
      // Different parameters of a few resources.
      const TraitId resource = mContents % kFirstParts + 1;
      Send({ ++mContents, { FirstPart() }, resource }, false);
      ++mSound;
    }
    if (!IsBadTime() || !Chance(mBadPerSecond * perStep)) {
      return;
    }
    switch (mTrouble) {
      case Trouble::NewPart:
        Send({ ++mContents, { FirstPart(), kBadPart } }, true);
        break;
      case Trouble::TurnedPart:
      case Trouble::TurnedPartAmongCrashes:
        Send({ ++mContents, { kBadPart } }, true);
        break;
      case Trouble::Request:
        Send({ kBadContent, { FirstPart() } }, true);
        break;
      case Trouble::Resource:
        Send({ ++mContents, {}, kBadResource }, true);
        break;
      default:
        break;
    }
  }

  /// Ends targets for reasons that no request has.
  void Disturb()
  {
    if (!IsBadTime() || mNow < mNextDisturbanceAt) {
      return;
    }
    const auto victim = [this] {
      return std::uniform_int_distribution<size_t>(0, kTargets - 1)(mRandom);
    };
    const bool inSeries = mTrouble == Trouble::Crashes ||
                          mTrouble == Trouble::TurnedPartAmongCrashes;
    if (inSeries && mDisturbances < 8) {
      mNextDisturbanceAt = mNow + Between(100, 1500);
      ++mDisturbances;
      End(mTargets[victim()]);
    } else if (mTrouble == Trouble::Loss && mDisturbances < 2) {
      mNextDisturbanceAt = mNow + Between(4000, 6000);
      ++mDisturbances;
      for (size_t n = mDisturbances; n < kTargets; n += 3) {
        End(mTargets[n]);
      }
    } else if (mTrouble == Trouble::Cascade && mDisturbances < 12) {
      ++mDisturbances;
      mNextDisturbanceAt = mNow + (mDisturbances % 6 == 0 ? Between(4000, 6000)
                                                          : Between(20, 200));
      End(mTargets[size_t{ mDisturbances } * 2 % kTargets]);
    } else if (mTrouble == Trouble::Resets && mDisturbances < 30) {
      mNextDisturbanceAt = mNow + Between(20, 300);
      ++mDisturbances;
      Break(mTargets[victim()]);
    }
  }

  void Send(RequestTraits aTraits, bool aCrashes)
  {
    Running request;
    request.mTraits = std::move(aTraits);
    request.mCrashes = aCrashes;
    request.mNode =
      std::uniform_int_distribution<size_t>(0, kNodes - 1)(mRandom);
    Forward(std::move(request));
  }

  void Forward(Running aRequest)
  {
    aRequest.mCrashes =
      aRequest.mCrashes || (IsBadTime() && !aRequest.mTraits.mParts.empty() &&
                            aRequest.mTraits.mParts.front() == kBadPart);
    if (mNodes[aRequest.mNode]->EndOfQuarantine(aRequest.mTraits)) {
      mSoundRefused += aRequest.mCrashes ? 0 : 1;
      return;
    }
    std::vector<Target*> up;
    for (Target& it : mTargets) {
      if (it.mDownUntil <= mNow) {
        up.push_back(&it);
      }
    }
    if (up.empty()) {
      return;
    }
    Target& target =
      *up[std::uniform_int_distribution<size_t>(0, up.size() - 1)(mRandom)];
    const auto queue = static_cast<int>(target.mRunning.size()) * 20;
    aRequest.mSentAt = mNow;
    aRequest.mBeginsAt = mNow + Between(20, 100 + queue);
    aRequest.mEndsAt =
      aRequest.mBeginsAt +
      (aRequest.mCrashes ? Between(50, 120) : Between(50, 2000));
    target.mRunning.push_back(aRequest);
    if (aRequest.mCrashes && mLastAllowedAt != TimePoint{} &&
        mNow > mLastAllowedAt + kReactionTime &&
        mNow > mStartedAt[aRequest.mNode] + kReactionTime) {
      ++mArrivalsAfter;
    }
  }

  void Work(Target& aTarget)
  {
    const auto crashed = std::find_if(
      aTarget.mRunning.begin(), aTarget.mRunning.end(), [&](const auto& it) {
        return it.mCrashes && it.mEndsAt <= mNow &&
               !mNodes[it.mNode]->EndOfQuarantine(it.mTraits);
      });
    if (crashed != aTarget.mRunning.end()) {
      if (++mBadCrashes == AllowedCrashes()) {
        mLastAllowedAt = mNow;
      }
      End(aTarget);
      return;
    }
    std::vector<Running> answered;
    std::erase_if(aTarget.mRunning, [&](const Running& it) {
      const bool ends = it.mEndsAt <= mNow;
      if (ends && !it.mCrashes) {
        answered.push_back(it);
      }
      return ends;
    });
    for (const Running& it : answered) {
      mNodes[it.mNode]->RecordAlive(aTarget.mStart, it.mSentAt, mNow);
      mNodes[it.mNode]->RecordAnswer(it.mTraits, it.mBeginsAt, mNow);
    }
  }

  void End(Target& aTarget)
  {
    Break(aTarget);
    aTarget.mStart = ++mStarts;
    aTarget.mDownUntil = mNow + kDownTime;
  }

  void Break(Target& aTarget)
  {
    const std::vector<Running> broken = std::move(aTarget.mRunning);
    aTarget.mRunning.clear();
    for (const Running& it : broken) {
      const auto beganAt = it.mBeginsAt <= mNow
                             ? std::optional<TimePoint>(it.mBeginsAt)
                             : std::nullopt;
      mNodes[it.mNode]->RecordCrash(it.mTraits, aTarget.mStart, beganAt, mNow);
    }
    aTarget.mDownUntil = mNow + kStep;
    for (Running it : broken) {
      if (mRepeatsAllowed && it.mAttempts++ < 2) {
        Forward(it);
      }
    }
  }

  /// Each node reports to the first, which replies; a third of the reports is
  /// lost, and a node may start again or be cut off for two seconds.
  void Exchange()
  {
    if (Chance(0.005)) {
      Restart(std::uniform_int_distribution<size_t>(0, kNodes - 1)(mRandom));
    }
    if (Chance(0.01)) {
      mCutUntil[std::uniform_int_distribution<size_t>(1, kNodes - 1)(mRandom)] =
        mNow + milliseconds(2000);
    }
    for (size_t n = 1; n < kNodes; ++n) {
      if (mCutUntil[n] <= mNow) {
        Report(n, 0);
        Report(0, n);
      }
    }
    for (const auto& it : mNodes) {
      it->Refresh(mNow);
    }
  }

  /// A node that starts again knows nothing.
  void Restart(size_t aNode)
  {
    mNodes[aNode] = std::make_unique<Quarantine>();
    mStartedAt[aNode] = mNow;
  }

  void Report(size_t aFrom, size_t aTo)
  {
    std::vector<CrashNotice> notices =
      mNodes[aFrom]->ChangesSince(mNow - kRepeatTime);
    TimePoint& strongAt = mStrongAt[aFrom * kNodes + aTo];
    if (mNow >= strongAt) {
      strongAt = mNow + kStrongInterval;
      const auto strong = mNodes[aFrom]->StrongEvidence();
      notices.insert(notices.end(), strong.begin(), strong.end());
    }
    if (!Chance(0.33)) {
      mNodes[aTo]->Merge(notices, mNow);
    }
  }

  std::mt19937_64 mRandom;
  const Trouble mTrouble;
  std::vector<std::unique_ptr<Quarantine>> mNodes;
  std::vector<TimePoint> mStartedAt; ///< of the nodes
  std::vector<TimePoint> mCutUntil;
  std::vector<TimePoint> mStrongAt;
  std::vector<Target> mTargets;
  TimePoint mNow{ std::chrono::hours(1) };
  TimePoint mBadFrom;
  TimePoint mNextReportAt;
  TimePoint mNextDisturbanceAt;
  TimePoint mLastAllowedAt;
  uint64_t mStarts = 0;
  TraitId mContents = 1000000;
  double mBadPerSecond = 0;
  bool mRepeatsAllowed = false;
  uint32_t mDisturbances = 0;
};

/// @return the number of seeds; more than in CI if SOAK_SEEDS says so
uint64_t
SeedCount()
{
  const char* text = std::getenv("SOAK_SEEDS");
  return text == nullptr ? 4 : std::stoull(text);
}

void
Soak(Trouble aTrouble)
{
  for (uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    World world(seed, aTrouble);
    world.Run();
    const std::string text =
      "seed " + std::to_string(seed) + ": " +
      std::to_string(world.mArrivalsAfter) + " late arrivals, " +
      std::to_string(world.mBadCrashes) + " crashes, " +
      std::to_string(world.mSoundRefused) + " of " +
      std::to_string(world.mSound) + " sound requests refused";
    if (std::getenv("SOAK_PRINT") != nullptr) {
      std::puts(text.c_str());
    }
    CHECK_TEXT(world.mArrivalsAfter <= 3, text.c_str());
    CHECK_TEXT(world.mSoundRefused * 50 <= world.mSound, text.c_str());
  }
}

} // namespace

TEST_GROUP(QuarantineSoak){};

// Guards against nodes that let requests with a part that crashes targets
// through for too long, or refuse sound ones beside them.
TEST(QuarantineSoak, NewPartThatCrashesTargets)
{
  Soak(Trouble::NewPart);
}

TEST(QuarantineSoak, PartThatTurnsBad)
{
  Soak(Trouble::TurnedPart);
}

TEST(QuarantineSoak, PartThatTurnsBadAmongCrashes)
{
  Soak(Trouble::TurnedPartAmongCrashes);
}

TEST(QuarantineSoak, RequestThatIsRepeated)
{
  Soak(Trouble::Request);
}

// Guards against a request that ends target after target because its repeats
// differ in their queries.
TEST(QuarantineSoak, RequestThatIsRepeatedWithOtherQueries)
{
  Soak(Trouble::Resource);
}

// Guards against sound requests that are refused because targets end for other
// reasons.
TEST(QuarantineSoak, CrashesInSeries)
{
  Soak(Trouble::Crashes);
}

TEST(QuarantineSoak, LossOfAThirdOfTheTargets)
{
  Soak(Trouble::Loss);
}

TEST(QuarantineSoak, LossOfTargetsShortlyAfterEachOther)
{
  Soak(Trouble::Cascade);
}

TEST(QuarantineSoak, ResetsOfConnections)
{
  Soak(Trouble::Resets);
}
