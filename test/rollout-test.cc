#include "groups/rollout.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

const TimePoint kNow{ std::chrono::hours(1) };

/// Each letter stands for one copy: s for a serving and f for a forming one
/// with the rule's model and size, S and F for outdated ones, l for a leaving
/// one before its drain deadline, L for one past it, e for an ending one.
std::vector<Copy>
CopiesOf(std::string_view aText)
{
  std::vector<Copy> copies;
  for (const char it : aText) {
    Copy copy;
    copy.mGroup = std::to_string(copies.size());
    copy.mState = it == 'e'                ? CopyState::Ending
                  : it == 'f' || it == 'F' ? CopyState::Forming
                                           : CopyState::Serving;
    copy.mOutdated = it == 'S' || it == 'F';
    copy.mLeaving = it == 'l' || it == 'L';
    copy.mDrainDeadline = it == 'L' ? kNow : kNow + seconds(1);
    copies.push_back(copy);
  }
  return copies;
}

std::string
Join(const std::vector<std::string>& aGroups)
{
  std::string text;
  for (const std::string& it : aGroups) {
    text += it;
  }
  return text;
}

struct RolloutCase
{
  const char* mCopies;
  uint32_t mWanted;
  uint32_t mForm;
  const char* mDrain;
  const char* mDrainIfNoRoom;
};

constexpr RolloutCase kRolloutCases[] = {
  { "", 2, 2, "", "" },
  { "ss", 2, 0, "", "" },
  { "sss", 2, 0, "2", "" },
  { "fss", 2, 0, "0", "" },  // the surplus copy is the forming one
  { "SSS", 3, 1, "", "0" },  // successor first, else drain one copy
  { "SSSf", 3, 0, "", "" },  // no drain before the successor serves
  { "SSSs", 3, 0, "0", "" }, // the successor serves
  { "eSSs", 3, 1, "", "" },  // next successor while one copy ends
  { "eSS", 3, 2, "", "" },   // without room, drain one at a time
  { "Fss", 2, 0, "0", "" },  // drain a forming copy immediately
  { "ls", 2, 1, "", "0" },   // a leaving copy awaits its successor
  { "lsf", 2, 0, "", "" },
  { "Lsf", 2, 0, "0", "" },     // until its drain deadline
  { "llss", 4, 2, "", "01" },   // replace all leaving copies at once
  { "ssss", 0, 0, "0123", "" }, // no copies wanted in this domain
};

} // namespace

TEST_GROUP(RolloutDecision){};

TEST(RolloutDecision, DecidesWhichCopiesToFormAndDrain)
{
  for (const RolloutCase& it : kRolloutCases) {
    const RolloutStep step =
      DecideRollout(CopiesOf(it.mCopies), it.mWanted, kNow);
    CHECK_EQUAL_TEXT(it.mForm, step.mForm, it.mCopies);
    STRCMP_EQUAL_TEXT(it.mDrain, Join(step.mDrain).c_str(), it.mCopies);
    STRCMP_EQUAL_TEXT(
      it.mDrainIfNoRoom, Join(step.mDrainIfNoRoom).c_str(), it.mCopies);
  }
}
