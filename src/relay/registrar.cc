#include "relay/registrar.h"

#include "observe/events.h"

namespace hibiscushold {

namespace {

/// A new node is noticed within two of these; each costs a call for every node
/// that asks the store itself.
constexpr auto kRosterWait = milliseconds(1000);

void
LogFailure(const char* aWhat, const Failure& aFailure)
{
  LogEvent(EventId::RosterFailed,
           { { "action", aWhat }, { "reason", Describe(aFailure) } });
}

} // namespace

Registrar::Registrar(RosterEntry aSelf, RelayedPlatform& aRelay)
  : mSelf(std::move(aSelf))
  , mRelay(aRelay)
  , mKey(std::string(kRosterPrefix) + mSelf.mId)
  , mValue(SerializeRosterEntry(mSelf))
{
}

void
Registrar::Register()
{
  const Result<uint64_t> created =
    mRelay.Create(mKey, mValue, CallClass::Status);
  if (created) {
    mOwnVersion = created.value();
  } else if (created.error().mError != Error::StoreConflict) {
    LogFailure("register", created.error());
  }
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
  if (own == mRoster.end()) {
    // What this node wrote may be newer than what another one told it.
    if (mOwnVersion <= mRevision) {
      Register();
    }
    return;
  }
  const bool right = own->second.mEntry.mToken == mSelf.mToken;
  if (right || own->second.mVersion < mOwnVersion) {
    mOwnVersion = std::max(mOwnVersion.load(), own->second.mVersion);
    return;
  }
  const Result<uint64_t> updated =
    mRelay.Update(mKey, mValue, own->second.mVersion, CallClass::Status);
  if (updated) {
    mOwnVersion = updated.value();
  } else {
    LogFailure("update", updated.error());
  }
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
