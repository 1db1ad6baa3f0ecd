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
  const char* mArguments; ///< for the usage line: one placeholder, or empty
  const char* mSummary;
  const char* mExample;
  void (*mAddOptions)(OptionList&);
  ExitCode (*mRun)(const OptionValues&, std::span<const std::string>);
};

/// @return every subcommand, in the order in which help shows them
const std::vector<Command>&
AllCommands();

/// @return the help text of one subcommand: usage, summary, options, example
std::string
HelpOf(const Command& aCommand);

/// Parses the command line and runs the subcommand.
/// @param aArguments the arguments after the program's name
/// @return the exit code of the process
ExitCode
RunCommandLine(std::span<const std::string> aArguments);

/// Prints the failure on standard error.
/// @return the exit code of the process for this failure
ExitCode
ReportFailure(const Failure& aFailure);

/// The text of a rules file without faults, and its rules.
struct RulesFile
{
  std::string mText;
  Rules mRules;
};

/// Reads and checks a rules file.
/// @param aPath path of the file
/// @return the file; ConfigInvalid with one line per fault; FileUnreadable; or
///         FileTooLarge
Result<RulesFile>
LoadRulesFile(const std::string& aPath);

// The entry points of the subcommands. aArguments are the positional arguments;
// their number is already checked. Each prints its result and returns the exit
// code.
ExitCode
RunServe(const OptionValues& aValues, std::span<const std::string> aArguments);
ExitCode
RunGateway(const OptionValues& aValues,
           std::span<const std::string> aArguments);
ExitCode
RunCheck(const OptionValues& aValues, std::span<const std::string> aArguments);
ExitCode
RunApply(const OptionValues& aValues, std::span<const std::string> aArguments);
ExitCode
RunConfig(const OptionValues& aValues, std::span<const std::string> aArguments);
ExitCode
RunExplain(const OptionValues& aValues,
           std::span<const std::string> aArguments);
ExitCode
RunGroups(const OptionValues& aValues, std::span<const std::string> aArguments);
ExitCode
RunMembers(const OptionValues& aValues,
           std::span<const std::string> aArguments);
ExitCode
RunHistory(const OptionValues& aValues,
           std::span<const std::string> aArguments);
ExitCode
RunTargets(const OptionValues& aValues,
           std::span<const std::string> aArguments);
ExitCode
RunRemove(const OptionValues& aValues, std::span<const std::string> aArguments);
ExitCode
RunDrain(const OptionValues& aValues, std::span<const std::string> aArguments);
ExitCode
RunRequests(const OptionValues& aValues,
            std::span<const std::string> aArguments);
ExitCode
RunCompletion(const OptionValues& aValues, std::span<const std::string>);
ExitCode
RunVersion(const OptionValues& aValues,
           std::span<const std::string> aArguments);

} // namespace hibiscushold
