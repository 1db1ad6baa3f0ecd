#include "groups/prober.h"

#include "core/parallel.h"

#include <vector>

namespace hibiscushold {

namespace {

constexpr auto kProbeTimeout = milliseconds(700);
constexpr size_t kProbeThreads = 8;

} // namespace

Prober::Prober(const VmList& aVms,
               EngineClient& aEngines,
               ProbeTable& aTable,
               const Clock& aClock)
  : mVms(aVms)
  , mEngines(aEngines)
  , mTable(aTable)
  , mClock(aClock)
{
}

void
Prober::Step(const std::set<std::string>& aVms)
{
  const VmList::ListPtr vms = mVms.Vms();
  std::vector<const Vm*> selected;
  for (const Vm& it : *vms) {
    if (aVms.contains(it.mId)) {
      selected.push_back(&it);
    }
  }
  ForEachInParallel(selected.size(), kProbeThreads, [&](size_t aIndex) {
    ProbeOne(*selected[aIndex]);
  });
}

void
Prober::ProbeOne(const Vm& aVm)
{
  const TimePoint probedAt = mClock.Now();
  Result<EngineStatus> status =
    mEngines.Status(aVm.mAddress, probedAt + kProbeTimeout);
  if (status) {
    mTable.Record(aVm.mId, { std::move(status.value()), probedAt });
  }
}

} // namespace hibiscushold
