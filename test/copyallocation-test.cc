#include "groups/copyallocation.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

/// Monday 2023-11-20, midnight in UTC.
constexpr int64_t kMondayMillis = 1700438400000;

} // namespace

TEST_GROUP(CopyAllocation)
{
  Rules mRules;
  std::vector<Vm> mVms;
  std::map<std::string, Domain> mDomains;

  void setup() override
  {
    AddRule("drafting", 2);
  }

  void AddRule(const std::string& aName, uint32_t aCopies)
  {
    GroupRule rule;
    rule.mName = aName;
    rule.mModel = "m";
    rule.mVmsPerCopy = 2;
    rule.mCopies = aCopies;
    mRules.mGroups.push_back(rule);
  }

  void AddVms(const std::string& aDomain, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Vm vm;
      vm.mId = aDomain + std::to_string(i);
      vm.mIncarnation = "1";
      vm.mPool = "workers";
      vm.mDomain = aDomain;
      mVms.push_back(vm);
    }
  }

  /// Adds a stored group with the VMs number aFirst and aFirst + 1 of the
  /// domain.
  void AddGroup(
    const std::string& aDomain, const std::string& aRule, int aFirst)
  {
    Group group;
    group.mId = aDomain + std::to_string(aFirst);
    group.mRule = aRule;
    group.mModel = "m";
    group.mPhase = GroupPhase::Serving;
    for (const int i : { aFirst, aFirst + 1 }) {
      group.mMembers.push_back({ aDomain + std::to_string(i), "1", {} });
    }
    mDomains[aDomain].mGroups.push_back(group);
  }

  void SetGoal(CapacityGoal aGoal)
  {
    ScheduleRule schedule;
    schedule.mName = "always";
    schedule.mGoal = aGoal;
    mRules.mSchedules.push_back(schedule);
    for (GroupRule& it : mRules.mGroups) {
      it.mSchedule = "always";
    }
  }

  uint32_t Count(const std::string& aDomain,
                 const std::string& aRule = "drafting")
  {
    return AllocateCopies(
      mRules, mVms, mDomains, kMondayMillis)[aDomain][aRule];
  }
};

TEST(CopyAllocation, ReplacesCopiesOfAnUnlistedDomainAndDropsRestartedOnes)
{
  AddVms("b", 4);
  AddGroup("a", "drafting", 0);
  AddGroup("b", "drafting", 0);
  CHECK_EQUAL(2u, Count("b"));
  AddGroup("b", "drafting", 2);
  AddVms("a", 4);
  for (Vm& it : mVms) {
    it.mIncarnation = it.mDomain == "a" ? "2" : "1";
  }
  CHECK_EQUAL(2u, Count("b"));
  CHECK_EQUAL(0u, Count("a"));
}

TEST(CopyAllocation, AddsExtraCopiesOnlyToMinimizeStrandedCapacity)
{
  AddVms("a", 7);
  CHECK_EQUAL(2u, Count("a"));
  SetGoal(CapacityGoal::MinimizeStranded);
  CHECK_EQUAL(3u, Count("a"));
}

TEST(CopyAllocation, ReplacesAnExtraCopyOfAnotherRule)
{
  AddRule("sorting", 1);
  SetGoal(CapacityGoal::MinimizeStranded);
  AddVms("a", 6);
  AddGroup("a", "drafting", 0);
  AddGroup("a", "drafting", 2);
  AddGroup("a", "drafting", 4);
  CHECK_EQUAL(2u, Count("a"));
  CHECK_EQUAL(1u, Count("a", "sorting"));
}
