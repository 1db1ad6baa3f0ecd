#include "relay/registrar.h"

#include "observe/events.h"

namespace hibiscushold {

namespace {

/// Longest wait of one watch. A new node is noticed within two of them; each
/// costs a call to the store for every node that reads it directly.
constexpr auto kMaxRosterWait = milliseconds(300);

void
LogFailure(const char* aAction, const Failure& aFailure)
{
  LogEvent(EventId::RosterFailed,
           { { "action", aAction }, { "reason", Describe(aFailure) } });
}

} // namespace

Registrar::Registrar(RosterEntry aSelf,
                     TokenSet& aTokens,
                     RelayedPlatform& aRelay,
                     PeersSink aOnPeers)
  : mSelf(std::move(aSelf))
  , mTokens(aTokens)
  , mRelay(aRelay)
  , mOnPeers(std::move(aOnPeers))
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
    return mRelay.List(kRosterPrefix,
                       mHistoryGone ? CallPriority::Config
                                    : CallPriority::Status);
  }
  return mRelay.Watch(kRosterPrefix, mRevision, kMaxRosterWait);
}

void
Registrar::SyncRoster()
{
  const bool isSnapshot = mRevision == 0;
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
  mRelay.SetUpstreams(UpstreamsOf(mRoster, mSelf), RankInZone(mRoster, mSelf));
  mOnPeers(OtherNodes());
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
                mRelay.Create(mKey, SerializedEntry(), CallPriority::Status));
    return;
  }
  const RosterEntry& entry = own->second.mEntry;
  if (entry.mAddress == mSelf.mAddress && entry.mZone == mSelf.mZone &&
      entry.mCapacity == mSelf.mCapacity && entry.mCallers == mSelf.mCallers) {
    // Keep the entry from before a restart, as other nodes know its token.
    mTokens.Replace(entry.mToken);
    mOwnVersion = own->second.mVersion;
    return;
  }
  RecordWrite(
    "update",
    mRelay.Update(
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
    mRelay.Delete(mKey, mOwnVersion, CallPriority::Status);
  if (!deleted) {
    LogFailure("leave", deleted.error());
  }
}

} // namespace hibiscushold
