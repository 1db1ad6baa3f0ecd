#include "cluster/vmlist.h"

#include "cluster/drain.h"

namespace hibiscushold {

VmList::VmList(Platform& aPlatform)
  : mPlatform(aPlatform)
  , mVms(std::make_shared<const std::vector<Vm>>())
{
}

Result<void>
VmList::Poll()
{
  BOOST_OUTCOME_TRY(listing, mPlatform.ListVms(mRevision));
  if (listing.mUnchanged) {
    return boost::outcome_v2::success();
  }
  mRevision = listing.mRevision;
  const std::lock_guard guard(mLock);
  mListed = std::move(listing.mVms);
  Publish();
  return boost::outcome_v2::success();
}

void
VmList::SetDrains(std::map<std::string, std::string> aDrains)
{
  const std::lock_guard guard(mLock);
  if (mDrains != aDrains) {
    mDrains = std::move(aDrains);
    Publish();
  }
}

void
VmList::Publish()
{
  std::vector<Vm> vms = mListed;
  MarkDrained(vms, mDrains);
  mVms = std::make_shared<const std::vector<Vm>>(std::move(vms));
}

VmList::ListPtr
VmList::Vms() const
{
  const std::lock_guard guard(mLock);
  return mVms;
}

} // namespace hibiscushold
