#include "emulator/scenario.h"

#include "core/number.h"
#include "emulator/oddentry.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <sstream>

namespace hibiscushold::emulator {

namespace {

/// Nothing is drawn before this time, as the nodes start.
constexpr int64_t kFirstFaultAt = 6500;
/// Nothing is drawn for the end of a run, so that all faults can show.
constexpr int64_t kQuietEnd = 5000;

using Random = std::mt19937_64;

/// The purposes that random numbers are drawn for.
enum class Stream : uint32_t
{
  Changes,
  Returns,
  Nodes,
  Targets,
  Histories,
  Calls,
  Crashes,
  OddEntries,
  ZoneOuts,
};

template<class Value>
using Names = std::map<std::string, Value, std::less<>>;

const Names<FaultKind>&
FaultKinds()
{
  static const Names<FaultKind> names{
    { "change", FaultKind::Change },
    { "store-return", FaultKind::StoreReturn },
    { "store-cut", FaultKind::StoreCut },
    { "history-gone", FaultKind::HistoryGone },
    { "answers-lost", FaultKind::AnswersLost },
    { "writes-late", FaultKind::WritesLate },
    { "reads-stale", FaultKind::ReadsStale },
    { "second-copies", FaultKind::SecondCopies },
    { "broken-off", FaultKind::BrokenOff },
    { "lost-answers", FaultKind::LostAnswers },
    { "open-resets", FaultKind::OpenResets },
    { "no-answers", FaultKind::NoAnswers },
    { "crashes", FaultKind::Crashes },
    { "target-leaves", FaultKind::TargetLeaves },
    { "node-kill", FaultKind::NodeKill },
    { "node-stop", FaultKind::NodeStop },
    { "node-freeze", FaultKind::NodeFreeze },
    { "odd-entry", FaultKind::OddEntry },
    { "zone-out", FaultKind::ZoneOut },
  };
  return names;
}

const Names<AwayMode>&
AwayModes()
{
  static const Names<AwayMode> names{ { "busy", AwayMode::Busy },
                                      { "silent", AwayMode::Silent },
                                      { "reset", AwayMode::Reset } };
  return names;
}

const Names<bool>&
Flags()
{
  static const Names<bool> names{ { "no", false }, { "yes", true } };
  return names;
}

/// Stores a value, which is text as in the file.
/// @return whether the value is valid
template<class Settable>
using Setter = std::function<bool(Settable&, std::string_view)>;

template<class Settable, class Number>
Setter<Settable>
ToNumber(Number Settable::*aMember)
{
  return [aMember](Settable& aInto, std::string_view aValue) {
    return ParseNumber(aValue, aInto.*aMember);
  };
}

template<class Settable>
Setter<Settable>
ToText(std::string Settable::*aMember)
{
  return [aMember](Settable& aInto, std::string_view aValue) {
    aInto.*aMember = aValue;
    return !aValue.empty();
  };
}

template<class Settable, class Value>
Setter<Settable>
ToName(Value Settable::*aMember, const Names<Value>& aNames)
{
  return [aMember, &aNames](Settable& aInto, std::string_view aValue) {
    const auto it = aNames.find(aValue);
    if (it == aNames.end()) {
      return false;
    }
    aInto.*aMember = it->second;
    return true;
  };
}

const Names<Setter<Scenario>>&
ScenarioSetters()
{
  static const Names<Setter<Scenario>> setters{
    { "run.seed", ToNumber(&Scenario::mSeed) },
    { "run.time_ms", ToNumber(&Scenario::mRunTime) },
    { "run.draw_faults", ToName(&Scenario::mDrawsFaults, Flags()) },
    { "run.streams", ToName(&Scenario::mHasStreams, Flags()) },
    { "run.malformed", ToName(&Scenario::mHasMalformed, Flags()) },
    { "sizes.nodes", ToNumber(&Scenario::mNodes) },
    { "sizes.zones", ToNumber(&Scenario::mZones) },
    { "sizes.targets_per_service", ToNumber(&Scenario::mTargetsPerService) },
    { "sizes.callers_per_node", ToNumber(&Scenario::mCallersPerNode) },
    { "sizes.address_space_mb", ToNumber(&Scenario::mAddressSpaceMb) },
    { "zones.with_targets", ToNumber(&Scenario::mTargetZones) },
    { "zones.cold_per_s", ToNumber(&Scenario::mColdPerSecond) },
    { "zones.outs", ToNumber(&Scenario::mZoneOuts) },
    { "zones.followed", ToName(&Scenario::mFollowsZones, Flags()) },
  };
  return setters;
}

const Names<Setter<Fault>>&
FaultSetters()
{
  static const Names<Setter<Fault>> setters{
    { "kind", ToName(&Fault::mKind, FaultKinds()) },
    { "at_ms", ToNumber(&Fault::mAt) },
    { "for_ms", ToNumber(&Fault::mFor) },
    { "node", ToNumber(&Fault::mNode) },
    { "zone", ToNumber(&Fault::mZone) },
    { "mode", ToName(&Fault::mMode, AwayModes()) },
    { "lost_ms", ToNumber(&Fault::mLost) },
    { "rewrite_ms", ToNumber(&Fault::mRewriteAfter) },
    { "share", ToNumber(&Fault::mShare) },
    { "vary_query", ToName(&Fault::mVariesQuery, Flags()) },
    { "field", ToText(&Fault::mField) },
    { "value", ToText(&Fault::mValue) },
  };
  return setters;
}

/// Applies one setting of a line.
template<class Settable>
void
Set(const Names<Setter<Settable>>& aSetters,
    Settable& aInto,
    const std::string& aName,
    std::string_view aValue,
    int aLine,
    std::vector<LineError>& aErrors)
{
  const auto it = aSetters.find(aName);
  if (it == aSetters.end()) {
    std::vector<std::string> names;
    for (const auto& [name, setter] : aSetters) {
      names.push_back(name);
    }
    aErrors.push_back(
      { aLine,
        { Error::SettingUnknown,
          "'" + aName + "'",
          "did you mean '" + NearestName(aName, names) + "'?" } });
  } else if (!it->second(aInto, aValue)) {
    aErrors.push_back({ aLine,
                        { Error::SettingInvalid,
                          aName + " '" + std::string(aValue) + "'",
                          "" } });
  }
}

Fault
ParseFault(const IniLine& aLine, std::vector<LineError>& aErrors)
{
  Fault fault;
  std::istringstream words(aLine.mValue);
  for (std::string it; words >> it;) {
    const size_t colon = std::min(it.find(':'), it.size());
    const std::string value = it.substr(std::min(colon + 1, it.size()));
    Set(
      FaultSetters(), fault, it.substr(0, colon), value, aLine.mLine, aErrors);
  }
  return fault;
}

/// Draws the random numbers of one purpose.
class Draw
{
public:
  Draw(uint64_t aSeed, Stream aStream)
  {
    std::seed_seq seeds{ static_cast<uint32_t>(aSeed),
                         static_cast<uint32_t>(aSeed >> 32),
                         static_cast<uint32_t>(aStream) };
    mRandom.seed(seeds);
  }

  /// @return a number from aLow to aHigh
  int64_t Between(int64_t aLow, int64_t aHigh)
  {
    return std::uniform_int_distribution<int64_t>(aLow, aHigh)(mRandom);
  }

  bool Chance(double aShare)
  {
    return std::bernoulli_distribution(aShare)(mRandom);
  }

private:
  Random mRandom;
};

Fault
FaultAt(FaultKind aKind, int64_t aAt)
{
  Fault fault;
  fault.mKind = aKind;
  fault.mAt = aAt;
  return fault;
}

std::vector<Fault>
DrawChanges(const Scenario& aScenario)
{
  Draw draw(aScenario.mSeed, Stream::Changes);
  std::vector<Fault> changes;
  for (int64_t at = kFirstFaultAt; at < aScenario.mRunTime - kQuietEnd;) {
    changes.push_back(FaultAt(FaultKind::Change, at));
    // Also in quick succession.
    at += draw.Chance(0.2) ? draw.Between(30, 300) : draw.Between(500, 3500);
  }
  return changes;
}

/// @param aChanges a return may come just after one of them
std::vector<Fault>
DrawReturns(const Scenario& aScenario, const std::vector<Fault>& aChanges)
{
  Draw draw(aScenario.mSeed, Stream::Returns);
  std::vector<Fault> returns;
  const int64_t end = aScenario.mRunTime - kQuietEnd;
  const int64_t count = draw.Between(1, 2);
  for (int64_t i = 0; i < count; ++i) {
    Fault fault =
      FaultAt(FaultKind::StoreReturn, draw.Between(kFirstFaultAt + 1000, end));
    if (draw.Chance(0.6)) {
      const int64_t change =
        draw.Between(0, static_cast<int64_t>(aChanges.size()) - 1);
      fault.mAt = aChanges[change].mAt + draw.Between(2, 400);
    }
    fault.mFor = draw.Chance(0.5) ? 0 : draw.Between(50, 1200);
    fault.mMode = static_cast<AwayMode>(draw.Between(0, 2));
    fault.mLost = draw.Between(200, 4000);
    fault.mRewriteAfter = draw.Between(50, 1900);
    returns.push_back(fault);
    if (draw.Chance(0.3)) {
      fault.mAt += fault.mFor + draw.Between(100, 2500);
      returns.push_back(fault);
    }
  }
  return returns;
}

/// Draws disturbances of nodes around the returns.
std::vector<Fault>
DrawNodeFaults(const Scenario& aScenario, const std::vector<Fault>& aReturns)
{
  Draw draw(aScenario.mSeed, Stream::Nodes);
  std::vector<Fault> faults;
  const std::vector<FaultKind> kinds{ FaultKind::NodeKill,
                                      FaultKind::NodeKill,
                                      FaultKind::NodeStop,
                                      FaultKind::NodeFreeze,
                                      FaultKind::StoreCut };
  for (const Fault& it : aReturns) {
    const int64_t count = draw.Between(0, 3);
    for (int64_t i = 0; i < count; ++i) {
      const auto kind = static_cast<size_t>(
        draw.Between(0, static_cast<int64_t>(kinds.size()) - 1));
      Fault fault = FaultAt(kinds[kind], it.mAt + draw.Between(-1500, 2500));
      fault.mNode = static_cast<size_t>(
        draw.Between(0, static_cast<int64_t>(aScenario.mNodes) - 1));
      fault.mFor = draw.Between(50, 2500);
      fault.mMode = static_cast<AwayMode>(draw.Between(0, 2));
      faults.push_back(fault);
    }
  }
  return faults;
}

std::vector<Fault>
DrawLeavings(const Scenario& aScenario, const std::vector<Fault>& aReturns)
{
  Draw draw(aScenario.mSeed, Stream::Targets);
  std::vector<Fault> leavings;
  for (int64_t at = kFirstFaultAt; at < aScenario.mRunTime - kQuietEnd;
       at += draw.Between(500, 3000)) {
    leavings.push_back(FaultAt(FaultKind::TargetLeaves, at));
  }
  for (const Fault& it : aReturns) {
    leavings.push_back(
      FaultAt(FaultKind::TargetLeaves, it.mAt - draw.Between(0, 3000)));
  }
  return leavings;
}

std::vector<Fault>
DrawHistories(const Scenario& aScenario)
{
  Draw draw(aScenario.mSeed, Stream::Histories);
  std::vector<Fault> faults;
  if (draw.Chance(0.3)) {
    faults.push_back(
      FaultAt(FaultKind::HistoryGone,
              draw.Between(kFirstFaultAt, aScenario.mRunTime - kQuietEnd)));
  }
  return faults;
}

/// Draws disturbances of the store's calls and of the targets' answers.
std::vector<Fault>
DrawCallFaults(const Scenario& aScenario)
{
  Draw draw(aScenario.mSeed, Stream::Calls);
  std::vector<Fault> faults;
  for (const FaultKind it : { FaultKind::AnswersLost,
                              FaultKind::WritesLate,
                              FaultKind::ReadsStale,
                              FaultKind::SecondCopies,
                              FaultKind::BrokenOff,
                              FaultKind::LostAnswers,
                              FaultKind::OpenResets,
                              FaultKind::NoAnswers }) {
    if (!draw.Chance(0.4)) {
      continue;
    }
    Fault fault =
      FaultAt(it, draw.Between(kFirstFaultAt, aScenario.mRunTime - kQuietEnd));
    fault.mFor = draw.Between(200, 4000);
    fault.mLost = draw.Between(500, 4000);
    faults.push_back(fault);
  }
  return faults;
}

std::vector<Fault>
DrawCrashes(const Scenario& aScenario)
{
  Draw draw(aScenario.mSeed, Stream::Crashes);
  std::vector<Fault> faults;
  if (draw.Chance(0.3)) {
    Fault fault = FaultAt(FaultKind::Crashes,
                          draw.Between(kFirstFaultAt, 2 * kFirstFaultAt));
    fault.mFor = draw.Between(6000, 10000);
    faults.push_back(fault);
  }
  return faults;
}

std::vector<Fault>
DrawOddEntries(const Scenario& aScenario)
{
  Draw draw(aScenario.mSeed, Stream::OddEntries);
  std::vector<Fault> faults;
  const auto pick = [&draw](std::span<const std::string_view> aFrom) {
    const int64_t last = static_cast<int64_t>(aFrom.size()) - 1;
    return std::string(aFrom[static_cast<size_t>(draw.Between(0, last))]);
  };
  const int64_t count = draw.Between(0, 3);
  for (int64_t i = 0; i < count; ++i) {
    Fault fault =
      FaultAt(FaultKind::OddEntry,
              draw.Between(kFirstFaultAt, aScenario.mRunTime - kQuietEnd));
    fault.mField = pick(OddFields());
    fault.mValue = pick(OddValues());
    faults.push_back(fault);
  }
  return faults;
}

std::vector<Fault>
DrawZoneOuts(const Scenario& aScenario)
{
  Draw draw(aScenario.mSeed, Stream::ZoneOuts);
  std::vector<Fault> faults;
  for (size_t i = 0; i < aScenario.mZoneOuts; ++i) {
    Fault fault =
      FaultAt(FaultKind::ZoneOut,
              draw.Between(kFirstFaultAt, aScenario.mRunTime - 2 * kQuietEnd));
    fault.mFor = draw.Between(50, 9000);
    fault.mZone = static_cast<size_t>(
      draw.Between(0, static_cast<int64_t>(aScenario.mTargetZones) - 1));
    faults.push_back(fault);
  }
  return faults;
}

} // namespace

Scenario
ParseScenario(std::string_view aText, std::vector<LineError>& aErrors)
{
  const IniFile file = ParseIni(aText);
  aErrors = file.mErrors;
  Scenario scenario;
  for (const IniLine& it : file.mLines) {
    if (it.mSection == "faults") {
      scenario.mFaults.push_back(ParseFault(it, aErrors));
    } else {
      Set(ScenarioSetters(),
          scenario,
          it.mSection + "." + it.mName,
          it.mValue,
          it.mLine,
          aErrors);
    }
  }
  if (scenario.mTargetZones == 0) {
    aErrors.push_back({ 0, { Error::SettingInvalid, "with_targets '0'", "" } });
  }
  for (const Fault& it : scenario.mFaults) {
    if (it.mNode >= scenario.mNodes) {
      aErrors.push_back({ 0,
                          { Error::SettingInvalid,
                            "node " + std::to_string(it.mNode),
                            "there are fewer nodes" } });
    }
  }
  return scenario;
}

std::vector<Fault>
DrawFaults(const Scenario& aScenario)
{
  const std::vector<Fault> changes = DrawChanges(aScenario);
  const std::vector<Fault> returns = DrawReturns(aScenario, changes);
  std::vector<Fault> all = aScenario.mFaults;
  for (const std::vector<Fault>& it : { changes,
                                        returns,
                                        DrawNodeFaults(aScenario, returns),
                                        DrawLeavings(aScenario, returns),
                                        DrawHistories(aScenario),
                                        DrawCallFaults(aScenario),
                                        DrawCrashes(aScenario),
                                        DrawOddEntries(aScenario),
                                        DrawZoneOuts(aScenario) }) {
    all.insert(all.end(), it.begin(), it.end());
  }
  std::stable_sort(
    all.begin(), all.end(), [](const Fault& aL, const Fault& aR) {
      return aL.mAt < aR.mAt;
    });
  return all;
}

} // namespace hibiscushold::emulator
