#include "relay/registrar.h"

#include "observe/events.h"

namespace hibiscushold {

namespace {

/// Longest wait of one watch. A new node is noticed within two of them; each
/// costs a call to the store for every node that reads it directly.
constexpr auto kMaxRosterWait = milliseconds(300);
/// Interval at which the next node in the ring is called while all answer.
constexpr auto kCallInterval = milliseconds(4000);
/// Nodes that are called at a time if none answers.
constexpr size_t kMaxCalls = 6;

void
LogFailure(const char* aAction, const Failure& aFailure)
{
  LogEvent(EventId::RosterFailed,
           { { "action", aAction }, { "reason", Describe(aFailure) } });
}

} // namespace

Registrar::Registrar(RosterEntry aSelf, Dependencies aDependencies)
  : mSelf(std::move(aSelf))
  , mDependencies(std::move(aDependencies))
  , mKey(std::string(kRosterPrefix) + mSelf.mId)
{
}

Result<Listing>
Registrar::Read()
{
  if (mRevision == 0) {
    // A stale listing does no harm: the first watch continues from its
    // revision. After a return of the store it may be from before it, with
    // revisions that are used again, so an upstream is asked instead.
    return mDependencies.mRelay.List(kRosterPrefix,
                                     mHistoryGone ? CallPriority::Config
                                                  : CallPriority::Status);
  }
  return mDependencies.mRelay.Watch(kRosterPrefix, mRevision, kMaxRosterWait);
}

void
Registrar::SyncRoster()
{
  const bool isSnapshot = mRevision == 0;
  const TimePoint sentAt = mDependencies.mClock.Now();
  const Result<Listing> read = Read();
  mFirstReadDone = true;
  if (!read) {
    // The relay has already logged a failed upstream.
    mHistoryGone = read.error().mError == Error::StoreHistoryGone;
    if (mHistoryGone) {
      mRevision = 0;
    } else {
      LogFailure("read", read.error());
    }
    return;
  }
  mHistoryGone = false;
  mRevision = read.value().mRevision;
  ApplyListing(read.value(), isSnapshot);
  SyncOwnEntry();
  mDependencies.mRelay.SetUpstreams(FindPreceding(mRoster, mSelf));
  mDependencies.mOnPeers(OtherNodes(), sentAt - read.value().mMaxAge);
  SyncGoneNodes();
}

bool
Registrar::CallNext()
{
  const std::vector<RosterEntry> ring = RingAfter(mRoster, mSelf.mId);
  size_t n = 0;
  for (const RosterEntry& it : ring) {
    const TimePoint sentAt = mDependencies.mClock.Now();
    const bool answered = mDependencies.mCallNode(it);
    RecordCall(mGone, it.mId, answered, sentAt);
    if (answered) {
      return true;
    }
    if (++n == kMaxCalls) {
      return n == ring.size();
    }
  }
  return true;
}

void
Registrar::SyncGoneNodes()
{
  const TimePoint now = mDependencies.mClock.Now();
  RecordRoster(mGone, mRoster, now);
  if (mDeregistered || (now < mNextCallAt && mGone.mSilences.empty())) {
    return;
  }
  mNextCallAt = now + kCallInterval;
  // A node that nobody answers may be cut off itself.
  if (!CallNext()) {
    return;
  }
  for (const GoneNodeWrite& it :
       FindWrites(mGone, mRoster, mDependencies.mClock.Now())) {
    WriteGone(it);
  }
}

void
Registrar::WriteGone(const GoneNodeWrite& aWrite)
{
  const std::string key = std::string(kRosterPrefix) + aWrite.mNodeId;
  LogEvent(aWrite.mDeletes ? EventId::NodeForgotten : EventId::NodeDoubted,
           { { "node", aWrite.mNodeId } });
  if (aWrite.mDeletes) {
    const Result<void> deleted =
      mDependencies.mRelay.Delete(key, aWrite.mVersion, CallPriority::Status);
    if (!deleted) {
      LogFailure("forget", deleted.error());
    }
    return;
  }
  RosterEntry entry = mRoster.at(aWrite.mNodeId).mEntry;
  entry.mIsDoubted = true;
  const Result<uint64_t> written = mDependencies.mRelay.Update(
    key, SerializeRosterEntry(entry), aWrite.mVersion, CallPriority::Status);
  if (!written) {
    LogFailure("doubt", written.error());
  }
}

std::vector<RosterEntry>
Registrar::OtherNodes() const
{
  std::vector<RosterEntry> others;
  for (const auto& [id, node] : mRoster) {
    if (id != mSelf.mId) {
      others.push_back(node.mEntry);
    }
  }
  return others;
}

void
Registrar::ApplyListing(const Listing& aListing, bool aIsSnapshot)
{
  if (aIsSnapshot) {
    mRoster.clear();
  }
  for (const std::string& it : aListing.mDeleted) {
    mRoster.erase(it.substr(kRosterPrefix.size()));
  }
  for (const Object& it : aListing.mObjects) {
    Result<RosterEntry> entry = ParseRosterEntry(it);
    if (!entry) {
      LogFailure("decode", entry.error());
      continue;
    }
    mRoster[entry.value().mId] = { entry.value(), it.mVersion };
  }
}

void
Registrar::SyncOwnEntry()
{
  if (mDeregistered) {
    return;
  }
  const auto own = mRoster.find(mSelf.mId);
  // An upstream may return a state older than this node's last write.
  const uint64_t readVersion =
    own == mRoster.end() ? mRevision : own->second.mVersion;
  if (readVersion < mOwnVersion) {
    return;
  }
  if (own == mRoster.end()) {
    RecordWrite("create",
                mDependencies.mRelay.Create(
                  mKey, SerializedEntry(), CallPriority::Status));
    return;
  }
  RosterEntry entry = own->second.mEntry;
  if (entry.mAddress == mSelf.mAddress && entry.mZone == mSelf.mZone &&
      entry.mCapacity == mSelf.mCapacity && entry.mCallers == mSelf.mCallers) {
    // Keep the entry from before a restart, as other nodes know its token.
    mDependencies.mTokens.Replace(entry.mToken);
    mOwnVersion = own->second.mVersion;
    if (entry.mIsDoubted) {
      entry.mIsDoubted = false;
      RecordWrite("confirm",
                  mDependencies.mRelay.Update(mKey,
                                              SerializeRosterEntry(entry),
                                              own->second.mVersion,
                                              CallPriority::Status));
    }
    return;
  }
  RecordWrite(
    "update",
    mDependencies.mRelay.Update(
      mKey, SerializedEntry(), own->second.mVersion, CallPriority::Status));
}

void
Registrar::RecordWrite(const char* aAction, const Result<uint64_t>& aWritten)
{
  if (aWritten) {
    mOwnVersion = aWritten.value();
  } else {
    // The next read of the entries shows whether the write took effect.
    LogFailure(aAction, aWritten.error());
  }
}

std::string
Registrar::SerializedEntry() const
{
  return SerializeRosterEntry(mSelf);
}

void
Registrar::Deregister()
{
  mDeregistered = true;
  if (mOwnVersion == 0) {
    return;
  }
  const Result<void> deleted =
    mDependencies.mRelay.Delete(mKey, mOwnVersion, CallPriority::Status);
  if (!deleted) {
    LogFailure("leave", deleted.error());
  }
}

} // namespace hibiscushold
