#pragma once

#include "cli/exitcode.h"
#include "rules/rules.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <span>
#include <string>
#include <vector>

namespace hibiscushold {

using OptionValues = boost::program_options::variables_map;
using OptionList = boost::program_options::options_description;

/// One subcommand of the binary.
struct Command
{
  const char* mName;
  const char* mArguments; ///< shown in the usage line
  const char* mSummary;
  const char* mExample;
  void (*mAddOptions)(OptionList&);
  ExitCode (*mRun)(const OptionValues&, std::span<const std::string>);
};

/// @return every subcommand, in the order in which help shows them
const std::vector<Command>&
AllCommands();

/// @return the help text of one subcommand
std::string
HelpOf(const Command& aCommand);

/// Parses the command line and runs the subcommand.
/// @param aArguments the arguments after the program's name
/// @return the exit code of the process
ExitCode
RunCommandLine(std::span<const std::string> aArguments);

/// Prints one line about the failure on standard error.
/// @return the exit code that goes with it
ExitCode
Report(const Failure& aFailure);

/// A rules file without faults.
struct RulesFile
{
  std::string mText;
  Rules mRules;
};

/// Reads and checks a rules file.
/// @return ConfigInvalid with a line for every fault, or why it can't be read
Result<RulesFile>
LoadRulesFile(const std::string& aPath);

// The subcommands, by file.
ExitCode
RunServe(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunGateway(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunCheck(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunApply(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunConfig(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunExplain(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunGroups(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunMembers(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunHistory(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunTargets(const OptionValues& aValues, std::span<const std::string> aFiles);
ExitCode
RunRemove(const OptionValues& aValues, std::span<const std::string> aWords);
ExitCode
RunDrain(const OptionValues& aValues, std::span<const std::string> aWords);
ExitCode
RunRequests(const OptionValues& aValues, std::span<const std::string> aWords);
ExitCode
RunCompletion(const OptionValues& aValues, std::span<const std::string>);
ExitCode
RunVersion(const OptionValues& aValues, std::span<const std::string> aFiles);

} // namespace hibiscushold
