#pragma once

#include "emulator/timeline.h"

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscushold::emulator {

/// What a request shows of the configuration that its node has.
enum class Probe
{
  Key,    ///< with a key that versions N and N + 1 accept
  Route,  ///< on a route that versions N and N + 1 have
  Moved,  ///< on a route that each version moves to another service
  Once,   ///< on a route whose requests may run at most once
  Crash,  ///< ends each target that runs it; only sent by its fault
  Stream, ///< for a stream of events; only sent where the scenario has streams
};

/// What a node did with a request.
enum class Verdict
{
  Accepted, ///< a target answered it
  Denied,   ///< refused as not allowed
  Open,     ///< refused for another reason, or failed
};

/// A request of a caller, and its end.
struct RequestLine
{
  uint64_t mId = 0;
  size_t mNode = 0;
  Probe mProbe = Probe::Key;
  uint64_t mVersion = 0; ///< of the key or route
  int64_t mSentAt = 0;
  int64_t mEndedAt = 0;
  Verdict mVerdict = Verdict::Open;
  int mStatus = 0;            ///< 0 if no answer came
  size_t mService = 0;        ///< that answered it
  std::string mTarget;        ///< that answered it
  bool mIsOwnAnswer = false;  ///< the whole answer to this request
  bool mIsNoAnswer = false;   ///< bytes came that are no answer
  std::string mLeavingTarget; ///< that announced in its answer that it leaves
  uint64_t mNewestWritten =
    0;                       ///< highest version sent to the store by mEndedAt
  uint64_t mDigest = 0;      ///< of what its target must get
  bool mIsMalformed = false; ///< its head breaks the grammar
};

/// A request that a target runs.
struct ArrivalLine
{
  uint64_t mId = 0;
  std::string mTarget;
  int64_t mAt = 0;
  std::string mZone{};
  bool mIsCold = false;
  uint64_t mDigest = 0; ///< of what the target got
};

/// A zone that was out of service.
struct ZoneLine
{
  std::string mZone;
  int64_t mAckedAt = 0; ///< of the entry
  int64_t mBackAt = 0;  ///< when the operator began to remove it
};

/// A version of the configuration that the store has acknowledged.
struct VersionLine
{
  uint64_t mVersion = 0;
  int64_t mAckedAt = 0;
};

/// A target whose leaving the store has acknowledged.
struct LeavingLine
{
  std::string mTarget;
  int64_t mAckedAt = 0;
};

/// A node, or the store for all nodes, was disturbed.
struct DisturbanceLine
{
  enum class Kind
  {
    Store,  ///< the store was away
    Cut,    ///< the store was away for one node
    Freeze, ///< the node was suspended
    Start,  ///< the node was killed and started again
    Stop,   ///< the node was asked to stop, and started again
  };
  Kind mKind = Kind::Store;
  size_t mNode = 0;
  int64_t mFrom = 0;
  int64_t mUntil = 0;
};

/// A node's process that ended by itself.
struct EndLine
{
  size_t mNode = 0;
  std::string mHow; ///< its signal or its exit code
  int64_t mAt = 0;
};

/// All that a run has recorded.
struct Lines
{
  std::vector<RequestLine> mRequests;
  std::vector<ArrivalLine> mArrivals;
  std::vector<VersionLine> mVersions;
  std::vector<LeavingLine> mLeavings;
  std::vector<DisturbanceLine> mDisturbances;
  std::vector<EndLine> mEnds;
  std::vector<ZoneLine> mZones;
};

/// Records lines in memory, and as one JSON object per line in a file.
/// Thread-safe.
class Recorder
{
public:
  /// @param aPath of the file; it is replaced
  explicit Recorder(const std::string& aPath);

  void Record(const RequestLine& aLine);
  void Record(const ArrivalLine& aLine);
  void Record(const VersionLine& aLine);
  void Record(const LeavingLine& aLine);
  void Record(const DisturbanceLine& aLine);
  void Record(const EndLine& aLine);
  void Record(const ZoneLine& aLine);

  Lines All() const;

private:
  mutable std::mutex mLock; ///< guards the members below
  std::ofstream mFile;
  Lines mLines;
};

/// @return the name in the lines of the file
const char*
NameOf(Probe aProbe);
const char*
NameOf(Verdict aVerdict);
const char*
NameOf(DisturbanceLine::Kind aKind);

} // namespace hibiscushold::emulator
