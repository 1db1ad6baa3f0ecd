#include "emulator/judge.h"
#include "emulator/run.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace hibiscushold;
using namespace hibiscushold::emulator;

constexpr size_t kMaxScenarioBytes = 100'000;
constexpr size_t kMaxPrintedBreaches = 20;

po::options_description
DescribeOptions()
{
  po::options_description options("options");
  options.add_options()(
    "scenario", po::value<std::string>(), "file with sizes and faults")(
    "program", po::value<std::string>(), "path of the hibiscushold binary")(
    "folder", po::value<std::string>(), "for logs and lines; is created")(
    "first", po::value<uint64_t>()->default_value(1), "first seed")(
    "seeds", po::value<uint64_t>()->default_value(1), "seeds to play");
  return options;
}

size_t
Count(const Lines& aLines, Verdict aVerdict)
{
  size_t n = 0;
  for (const RequestLine& it : aLines.mRequests) {
    n += it.mVerdict == aVerdict ? 1 : 0;
  }
  return n;
}

void
Print(const Breach& aBreach)
{
  const RequestLine& it = aBreach.mRequest;
  std::cout << "  " << aBreach.mRule << " at " << it.mSentAt << " ms, node "
            << it.mNode << ", request " << it.mId << " (" << NameOf(it.mProbe)
            << " " << it.mVersion << " " << NameOf(it.mVerdict)
            << "): " << aBreach.mDetail << "\n";
}

/// Plays one seed.
/// @return whether no rule was broken
bool
PlaySeed(Scenario aScenario,
         uint64_t aSeed,
         const std::string& aProgram,
         const std::string& aFolder)
{
  aScenario.mSeed = aSeed;
  const std::string folder = aFolder + "/" + std::to_string(aSeed);
  std::filesystem::create_directories(folder);
  const Lines lines = Play(aScenario, aProgram, folder);
  std::vector<Breach> breaches = JudgeConfig(lines, {});
  for (const std::vector<Breach>& it :
       { JudgeEnds(lines),
         JudgeDrain(lines, {}),
         JudgeAnswers(lines),
         JudgeRequests(lines),
         JudgeBudget(lines, {}),
         JudgeZonesOut(lines, {}),
         JudgeCold(lines, aScenario.mColdPerSecond, {}) }) {
    breaches.insert(breaches.end(), it.begin(), it.end());
  }
  std::cout << "seed " << aSeed << ": " << Count(lines, Verdict::Accepted)
            << " accepted, " << Count(lines, Verdict::Denied) << " denied, "
            << Count(lines, Verdict::Open) << " open, " << breaches.size()
            << " breaches" << std::endl;
  for (size_t i = 0; i < std::min(breaches.size(), kMaxPrintedBreaches); ++i) {
    Print(breaches[i]);
  }
  return breaches.empty();
}

int
Run(const po::variables_map& aValues)
{
  Scenario scenario;
  if (aValues.contains("scenario")) {
    const Result<std::string> text =
      ReadTextFile(aValues["scenario"].as<std::string>(), kMaxScenarioBytes);
    if (!text) {
      std::cerr << Describe(text.error()) << "\n";
      return 2;
    }
    std::vector<LineError> errors;
    scenario = ParseScenario(text.value(), errors);
    for (const LineError& it : errors) {
      std::cerr << "line " << it.mLine << ": " << Describe(it.mFailure) << "\n";
    }
    if (!errors.empty()) {
      return 2;
    }
  }
  const uint64_t first = aValues["first"].as<uint64_t>();
  uint64_t broken = 0;
  const uint64_t seeds = aValues["seeds"].as<uint64_t>();
  for (uint64_t it = first; it < first + seeds; ++it) {
    broken += PlaySeed(scenario,
                       it,
                       aValues["program"].as<std::string>(),
                       aValues["folder"].as<std::string>())
                ? 0
                : 1;
  }
  std::cout << seeds - broken << " passed, " << broken << " failed\n";
  return broken == 0 ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aWords)
{
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aWords, DescribeOptions()),
              values);
    if (!values.contains("program") || !values.contains("folder")) {
      std::cerr << "usage: hibiscushold-emulator --program FILE --folder "
                   "FOLDER [OPTIONS]\n"
                << DescribeOptions();
      return 2;
    }
    return Run(values);
  } catch (const std::exception& e) {
    std::cerr << "hibiscushold-emulator: " << e.what() << "\n";
    return 1;
  }
}
