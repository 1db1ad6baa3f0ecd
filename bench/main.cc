#include "bench/report.h"
#include "bench/scenario.h"
#include "observe/events.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace hibiscushold;
using namespace hibiscushold::bench;

struct Scenario
{
  const char* mName;
  const char* mSummary;
  Result<bool> (*mRun)(const ScenarioOptions&, Output&);
};

constexpr Scenario kScenarios[] = {
  { "added", "latency and throughput compared with direct calls", RunAdded },
  { "load", "goodput by class at 0.5, 1, 2 and 4 times capacity", RunLoad },
  { "mixed", "correctness of answers during random faults", RunMixed },
};

po::options_description
DescribeOptions()
{
  po::options_description options("options");
  options.add_options()("what", po::value<std::vector<std::string>>(), "")(
    "seed", po::value<uint64_t>()->default_value(1), "seed of the run")(
    "rate", po::value<double>()->default_value(0), "calls per second")(
    "seconds", po::value<uint32_t>()->default_value(0), "length of a step")(
    "json", "JSON lines in place of tables")(
    "log", po::value<std::string>()->default_value("error"), "log level");
  return options;
}

int
Usage()
{
  std::cerr << "usage: hibiscushold-bench SCENARIO [OPTIONS]\n"
               "       hibiscushold-bench report RUN.jsonl [EARLIER.jsonl]\n";
  for (const Scenario& it : kScenarios) {
    std::cerr << "  " << it.mName << ": " << it.mSummary << "\n";
  }
  std::cerr << DescribeOptions();
  return 2;
}

int
RunScenario(const Scenario& aScenario, const po::variables_map& aValues)
{
  ScenarioOptions options;
  options.mSeed = aValues["seed"].as<uint64_t>();
  options.mRate = aValues["rate"].as<double>();
  options.mStepSeconds = aValues["seconds"].as<uint32_t>();
  Output output(aScenario.mName, options.mSeed, aValues.contains("json"));
  Result<bool> passed = aScenario.mRun(options, output);
  output.PrintTables();
  if (!passed) {
    std::cerr << aScenario.mName << ": " << Describe(passed.error()) << "\n";
    return 2;
  }
  if (!passed.value()) {
    std::cerr << aScenario.mName << ": outside its limits\n";
    return 1;
  }
  return 0;
}

int
Run(const po::variables_map& aValues)
{
  if (!aValues.contains("what")) {
    return Usage();
  }
  const auto words = aValues["what"].as<std::vector<std::string>>();
  if (words.front() == "report") {
    return words.size() < 2 ? Usage()
                            : PrintReport({ words.begin() + 1, words.end() });
  }
  for (const Scenario& it : kScenarios) {
    if (words.front() == it.mName) {
      StartLog(aValues["log"].as<std::string>(), false);
      return RunScenario(it, aValues);
    }
  }
  return Usage();
}

} // namespace

int
main(int aCount, char** aWords)
{
  try {
    po::positional_options_description positions;
    positions.add("what", -1);
    po::variables_map values;
    po::store(po::command_line_parser(aCount, aWords)
                .options(DescribeOptions())
                .positional(positions)
                .run(),
              values);
    return Run(values);
  } catch (const std::exception& e) {
    std::cerr << "hibiscushold-bench: " << e.what() << "\n";
    return 2;
  }
}
