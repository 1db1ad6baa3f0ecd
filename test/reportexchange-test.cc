#include "groups/reportexchange.h"
#include "groups/tally.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr auto kMaxProbeAge = seconds(3);
const TimePoint kNow{ std::chrono::hours(1) };

std::vector<ExchangeMember>
Members(size_t aCount, size_t aZones)
{
  std::vector<ExchangeMember> members;
  for (size_t i = 0; i < aCount; ++i) {
    members.push_back(
      { "n" + std::to_string(i), "z" + std::to_string(i % aZones) });
  }
  return members;
}

Group
GroupOf(size_t aVms)
{
  Group group;
  group.mId = "g";
  group.mGeneration = 3;
  group.mPhase = GroupPhase::Serving;
  for (size_t i = 0; i < aVms; ++i) {
    const std::string vm = "vm" + std::to_string(i);
    group.mMembers.push_back({ vm, vm + "-1", {} });
  }
  return group;
}

SliceReport
ReportOn(const Group& aGroup, uint32_t aSlice, TimePoint aProbedAt)
{
  return { aGroup.mId,
           aSlice,
           aGroup.mGeneration,
           DigestOf(SliceOf(aGroup, aSlice)),
           aProbedAt };
}

ProbeResult
ReadyProbeOf(const Group& aGroup,
             const GroupMember& aMember,
             TimePoint aProbedAt)
{
  ProbeResult probe;
  probe.mStatus.mIncarnation = aMember.mIncarnation;
  probe.mStatus.mGroup = aGroup.mId;
  probe.mStatus.mGeneration = aGroup.mGeneration;
  probe.mStatus.mReady = true;
  probe.mProbedAt = aProbedAt;
  return probe;
}

/// @return the number of members that aFrom's reports reach, and the greatest
///         number of hops
std::pair<size_t, size_t>
CountReached(const std::vector<ExchangeMember>& aAlive,
             const std::string& aFrom)
{
  std::set<std::string> reached{ aFrom };
  size_t hops = 0;
  for (bool grew = true; grew; hops += grew ? 1 : 0) {
    std::set<std::string> next = reached;
    for (const ExchangeMember& it : aAlive) {
      for (const std::string& source : ChooseSources(aAlive, it.mId)) {
        if (reached.contains(source)) {
          next.insert(it.mId);
        }
      }
    }
    grew = next.size() > reached.size();
    reached = std::move(next);
  }
  return { reached.size(), hops };
}

} // namespace

TEST_GROUP(SliceReportExchange)
{
  ProbeTable mTable;
  Group mGroup = GroupOf(20);

  bool Serves(TimePoint aNow)
  {
    return IsGroupServing(mGroup, mTable, aNow, kMaxProbeAge);
  }
};

TEST(SliceReportExchange, ChoosesTwoProbersFromTwoZones)
{
  const std::vector<ExchangeMember> alive = Members(20, 3);
  std::map<std::string, std::string> zones;
  for (const ExchangeMember& it : alive) {
    zones[it.mId] = it.mZone;
  }
  for (uint32_t i = 0; i < 50; ++i) {
    const std::vector<std::string> probers = ChooseProbers(alive, "g", i);
    CHECK_EQUAL(2u, probers.size());
    CHECK(zones[probers[0]] != zones[probers[1]]);
  }
  CHECK_EQUAL(2u, ChooseProbers(Members(4, 1), "g", 0).size());
  CHECK_EQUAL(1u, ChooseProbers(Members(1, 1), "g", 0).size());
}

TEST(SliceReportExchange, ReportsReachEveryMember)
{
  CHECK_EQUAL(7u, ChooseSources(Members(8, 1), "n0").size());
  for (const size_t n : { 2, 8, 9, 68, 340 }) {
    const std::vector<ExchangeMember> alive = Members(n, 5);
    const auto [reached, hops] = CountReached(alive, "n0");
    CHECK_EQUAL(n, reached);
    CHECK(hops <= 9);
  }
}

TEST(SliceReportExchange, UsesAnotherMemberAfterAFailure)
{
  const std::vector<ExchangeMember> alive = Members(20, 2);
  const std::string first = ChooseSource(alive, "n0", 1, 0);
  CHECK(first != ChooseSource(alive, "n0", 1, 1));
  CHECK(ChooseSource(alive, "n0", 3, 0).empty());
}

TEST(SliceReportExchange, NeverUnderestimatesTheAgeOfAReport)
{
  // Request sent at 0, held for 400 ms, reply with an age of 100 ms received at
  // 1000 ms: the reply may have been in transit for 600 ms, so the age is up to
  // 700 ms.
  CHECK(kNow + milliseconds(300) == EstimateProbeTime(kNow,
                                                      kNow + milliseconds(1000),
                                                      milliseconds(400),
                                                      milliseconds(100)));
  // A stated hold time longer than the whole call is capped to the call's.
  CHECK(kNow + milliseconds(900) ==
        EstimateProbeTime(
          kNow, kNow + milliseconds(1000), seconds(9), milliseconds(100)));
}

TEST(SliceReportExchange, ServesOnlyWhileEverySliceIsReady)
{
  mTable.SliceReports().Record(ReportOn(mGroup, 0, kNow));
  CHECK_FALSE(Serves(kNow));
  for (const GroupMember& it : SliceOf(mGroup, 1)) {
    mTable.Record(it.mVm, ReadyProbeOf(mGroup, it, kNow));
  }
  CHECK(Serves(kNow + kMaxProbeAge - milliseconds(1)));
  CHECK_FALSE(Serves(kNow + kMaxProbeAge));
}

TEST(SliceReportExchange, RejectsReportsOfAnotherMembershipOrGeneration)
{
  mGroup = GroupOf(4);
  mTable.SliceReports().Record(ReportOn(mGroup, 0, kNow));
  CHECK(Serves(kNow));
  mGroup.mMembers[2].mIncarnation = "vm2-2";
  CHECK_FALSE(Serves(kNow));
  mGroup = GroupOf(4);
  ++mGroup.mGeneration;
  CHECK_FALSE(Serves(kNow));
}

TEST(SliceReportExchange, ReturnsReportsAfterASerial)
{
  SliceReportTable& reports = mTable.SliceReports();
  reports.Record(ReportOn(mGroup, 0, kNow));
  const SliceReportBatch first = reports.WaitForNewer(0, milliseconds(0));
  CHECK_EQUAL(1u, first.mReports.size());
  reports.Record(ReportOn(mGroup, 0, kNow - seconds(1)));
  CHECK_EQUAL(
    0u, reports.WaitForNewer(first.mSerial, milliseconds(0)).mReports.size());
  reports.Record(ReportOn(mGroup, 1, kNow));
  CHECK_EQUAL(
    1u, reports.WaitForNewer(first.mSerial, milliseconds(0)).mReports.size());
}

TEST(SliceReportExchange, RecordsNoReportForASliceWithAnUnprobedMember)
{
  ClusterView view;
  view.mDomains["rack"].mValue.mGroups.push_back(mGroup);
  for (const GroupMember& it : mGroup.mMembers) {
    if (it.mVm != "vm3") {
      mTable.Record(it.mVm, ReadyProbeOf(mGroup, it, kNow));
    }
  }
  RecordSliceReports(view, mTable, kNow, kMaxProbeAge);
  CHECK_FALSE(mTable.SliceReports().Find("g", 0).has_value());
  CHECK(mTable.SliceReports().Find("g", 1).has_value());
}

TEST(SliceReportExchange, CountsServingMissingAndStranded)
{
  ClusterView view;
  Rules rules;
  rules.mGroups.resize(1);
  rules.mGroups[0].mName = mGroup.mRule = "drafting";
  rules.mGroups[0].mCopies = 2;
  view.mDomains["rack"].mValue.mGroups.push_back(mGroup);
  std::vector<Vm> vms(21);
  for (size_t i = 0; i < vms.size(); ++i) {
    vms[i].mId = "vm" + std::to_string(i);
    vms[i].mDomain = "rack";
  }
  const auto tally = [&] {
    return TallyGroups(rules, view, vms, mTable, kNow, kMaxProbeAge);
  };
  CHECK((GroupTally{ 0, 2, 21 }) == tally());
  mTable.SliceReports().Record(ReportOn(mGroup, 0, kNow));
  mTable.SliceReports().Record(ReportOn(mGroup, 1, kNow));
  CHECK((GroupTally{ 1, 1, 1 }) == tally());
}
