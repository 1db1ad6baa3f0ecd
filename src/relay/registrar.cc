#include "relay/registrar.h"

#include "observe/events.h"

namespace hibiscushold {

namespace {

/// A new node is noticed within two of these; each costs a call for every node
/// that asks the store itself.
constexpr auto kRosterWait = milliseconds(300);

void
LogFailure(const char* aWhat, const Failure& aFailure)
{
  LogEvent(EventId::RosterFailed,
           { { "action", aWhat }, { "reason", Describe(aFailure) } });
}

} // namespace

Registrar::Registrar(RosterEntry aSelf,
                     TokenBook& aTokens,
                     RelayedPlatform& aRelay)
  : mSelf(std::move(aSelf))
  , mTokens(aTokens)
  , mRelay(aRelay)
  , mKey(std::string(kRosterPrefix) + mSelf.mId)
{
}

Result<Listing>
Registrar::Read()
{
  if (mRevision == 0) {
    // What an old listing lacks, the first watch from it brings.
    return mRelay.List(kRosterPrefix, CallClass::Status);
  }
  return mRelay.Watch(kRosterPrefix, mRevision, kRosterWait);
}

void
Registrar::Step()
{
  const bool whole = mRevision == 0;
  const Result<Listing> read = Read();
  mLooked = true;
  if (!read) {
    // The entries are listed again; the relay has logged a lost node.
    mRevision = 0;
    if (read.error().mError != Error::StoreHistoryGone) {
      LogFailure("read", read.error());
    }
    return;
  }
  mRevision = read.value().mRevision;
  Take(read.value(), whole);
  Reconcile();
  mRelay.SetUpstreams(UpstreamsOf(mRoster, mSelf));
}

void
Registrar::Take(const Listing& aListing, bool aWhole)
{
  if (aWhole) {
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
Registrar::Reconcile()
{
  if (mLeft) {
    return;
  }
  const auto own = mRoster.find(mSelf.mId);
  // What this node wrote may be newer than what another one told it.
  const uint64_t seen = own == mRoster.end() ? mRevision : own->second.mVersion;
  if (seen < mOwnVersion) {
    return;
  }
  if (own == mRoster.end()) {
    NoteWrite("create", mRelay.Create(mKey, Value(), CallClass::Status));
    return;
  }
  const RosterEntry& entry = own->second.mEntry;
  if (entry.mAddress == mSelf.mAddress && entry.mZone == mSelf.mZone &&
      entry.mCapacity == mSelf.mCapacity) {
    // The entry of an earlier life holds on; others know its token.
    mTokens.Replace(entry.mToken);
    mOwnVersion = own->second.mVersion;
    return;
  }
  NoteWrite(
    "update",
    mRelay.Update(mKey, Value(), own->second.mVersion, CallClass::Status));
}

void
Registrar::NoteWrite(const char* aAction, const Result<uint64_t>& aWritten)
{
  if (aWritten) {
    mOwnVersion = aWritten.value();
  } else {
    // The next look at the entries shows whether it was done.
    LogFailure(aAction, aWritten.error());
  }
}

std::string
Registrar::Value() const
{
  return SerializeRosterEntry(mSelf);
}

void
Registrar::Leave()
{
  mLeft = true;
  if (mOwnVersion == 0) {
    return;
  }
  const Result<void> left = mRelay.Delete(mKey, mOwnVersion, CallClass::Status);
  if (!left) {
    LogFailure("leave", left.error());
  }
}

} // namespace hibiscushold
