#pragma once
// Model workers in groups, as PROTOCOL.md describes them.

#include "world.hpp"

namespace review {

struct GroupName
{
  std::string mName;
  uint64_t mEpoch = 0;
  bool operator==(const GroupName&) const = default;
};

/// The membership of a worker.
struct Membership
{
  GroupName mKey;
  std::vector<std::string> mMembers;
  size_t mRank = 0;
  std::string mState; ///< joining, ready, open, closing
  std::string mModel;
};

/// A model worker's life; a restart clears all but mStaged.
struct Engine
{
  std::unique_ptr<Worker> mWorker;
  std::optional<Membership> mGroup;
  std::vector<std::string> mStaged;
  std::string mLastModel;
  uint64_t mMaxEpoch = 0;
  uint64_t mMaxFence = 0;
  uint64_t mSequence = 0;
  int64_t mSilentUntil = 0;
};

/// All model workers of one service and domain.
class Engines
{
public:
  Engines(World& aWorld,
          const std::string& aService,
          size_t aCount,
          int aWarmMillis,
          int aLoadMillis,
          Answer aAnswer);

  std::vector<std::unique_ptr<Engine>> mEngines;
  /// Called for an order before it is carried out, with the lock not held.
  /// @return bytes to send first
  std::function<std::string(Engine&,
                            const Json::Value& aOrder,
                            const std::string& aLastAnswer)>
    mOnOrder;
  std::mutex mLock;
  std::vector<std::string> mBreaches; ///< of the rule TWO

  Engine* Find(const std::string& aId);
  /// Writes the entry; call it with the lock held.
  void Report(Engine& aEngine);
  /// Starts another worker, without a staged model.
  Engine& Add();
  /// A worker drains and exits; its entry goes.
  void Drain(Engine& aEngine);
  /// Whether the group of a head has all its members.
  bool IsWhole(const std::string& aHeadId);
  /// The process of a worker ends, and starts again under its id.
  void Crash(Engine& aEngine);
  void Restart(Engine& aEngine);

private:
  std::string Control(Engine& aEngine,
                      const Run& aRun,
                      Channel& aChannel,
                      const std::string& aLastAnswer);
  int Carry(Engine& aEngine, const Json::Value& aOrder);
  int Join(Engine& aEngine, const Json::Value& aOrder);
  void Later(int aMillis, std::function<void()> aWhat);

  World& mWorld;
  const std::string mService;
  const Answer mAnswer;
  const int mWarmMillis;
  const int mLoadMillis;
};

/// @return the service's entry of a config with one model
Json::Value
EngineService(const std::string& aName, int aSize, double aLoadS, double aWarmS);

} // namespace review
