#include "cli/command.h"

#include "core/ini.h"

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>

#include <iostream>
#include <sstream>

namespace hibiscushold {

namespace {

namespace po = boost::program_options;

void
AddNoOptions(OptionList&)
{
}

void
AddSettingsOption(OptionList& aOptions)
{
  aOptions.add_options()(
    "settings",
    po::value<std::string>()->default_value("hibiscushold.ini"),
    "settings file of the node");
}

/// Adds the options of the commands that call a node.
void
AddOperatorOptions(OptionList& aOptions)
{
  AddSettingsOption(aOptions);
  aOptions.add_options()("node",
                         po::value<std::string>(),
                         "HOST:PORT of a node's peer port; by default the "
                         "one in the settings file");
  aOptions.add_options()("json", "print JSON instead of a table");
}

void
AddApplyOptions(OptionList& aOptions)
{
  AddOperatorOptions(aOptions);
  aOptions.add_options()(
    "base", po::value<uint64_t>(), "fail unless this version is in force");
}

void
AddDrainOptions(OptionList& aOptions)
{
  AddOperatorOptions(aOptions);
  aOptions.add_options()("undo", "put the VM back into service");
}

void
AddRequestsOptions(OptionList& aOptions)
{
  AddOperatorOptions(aOptions);
  aOptions.add_options()(
    "account", po::value<std::string>()->required(), "name of the account");
}

void
AddExplainOptions(OptionList& aOptions)
{
  AddOperatorOptions(aOptions);
  aOptions.add_options()(
    "account", po::value<std::string>()->required(), "name of the account");
  aOptions.add_options()(
    "path", po::value<std::string>()->required(), "path of the request");
  aOptions.add_options()("model",
                         po::value<std::string>()->default_value(""),
                         "model that the request names");
}

void
PrintOverview(std::ostream& aOut)
{
  aOut << "usage: hibiscushold COMMAND [OPTIONS]\n\ncommands:\n";
  for (const Command& it : AllCommands()) {
    const std::string name = std::string(it.mName) + " " + it.mArguments;
    aOut << "  " << name
         << std::string(20 - std::min<size_t>(19, name.size()), ' ')
         << it.mSummary << "\n";
  }
  aOut << "\n'hibiscushold COMMAND --help' describes a command.\n";
}

OptionList
OptionsOf(const Command& aCommand)
{
  OptionList options("options");
  options.add_options()("help", "show this text");
  aCommand.mAddOptions(options);
  return options;
}

const Command*
FindCommand(std::string_view aName)
{
  for (const Command& it : AllCommands()) {
    if (it.mName == aName) {
      return &it;
    }
  }
  return nullptr;
}

/// Prints the message on standard error.
/// @return the exit code for a wrong command line
ExitCode
ReportUsageError(const std::string& aMessage)
{
  std::cerr << "hibiscushold: " << aMessage << "\n";
  return ExitCode::Usage;
}

ExitCode
UnknownCommand(std::string_view aName)
{
  std::vector<std::string> names;
  for (const Command& it : AllCommands()) {
    names.emplace_back(it.mName);
  }
  return ReportUsageError("unknown command '" + std::string(aName) +
                          "'; did you mean '" + NearestName(aName, names) +
                          "'?");
}

/// Parses the options and the positional arguments and runs the command.
/// @return the exit code
/// @throws boost::program_options::error if the command line is wrong
ExitCode
ParseAndRun(const Command& aCommand, std::span<const std::string> aArguments)
{
  const OptionList options = OptionsOf(aCommand);
  OptionList allOptions;
  allOptions.add(options);
  allOptions.add_options()("file", po::value<std::vector<std::string>>());
  po::positional_options_description positionals;
  positionals.add("file", -1);
  const std::vector<std::string> words(aArguments.begin(), aArguments.end());
  OptionValues values;
  po::store(po::command_line_parser(words)
              .options(allOptions)
              .positional(positionals)
              .run(),
            values);
  if (values.contains("help")) {
    std::cout << HelpOf(aCommand);
    return ExitCode::Ok;
  }
  po::notify(values);
  std::vector<std::string> positionalArguments;
  if (values.contains("file")) {
    positionalArguments = values["file"].as<std::vector<std::string>>();
  }
  const size_t expectedCount = *aCommand.mArguments == '\0' ? 0 : 1;
  if (positionalArguments.size() != expectedCount) {
    return ReportUsageError(
      std::string("'") + aCommand.mName + "' takes " +
      (expectedCount == 0 ? "no argument" : aCommand.mArguments) +
      "; see 'hibiscushold " + aCommand.mName + " --help'");
  }
  return aCommand.mRun(values, positionalArguments);
}

} // namespace

const std::vector<Command>&
AllCommands()
{
  static const std::vector<Command> commands{
    { "serve",
      "",
      "run a node until SIGTERM or SIGINT",
      "hibiscushold serve --settings node.ini",
      AddSettingsOption,
      RunServe },
    { "gateway",
      "",
      "run a gateway node on the users' platform until SIGTERM or SIGINT",
      "hibiscushold gateway --settings gateway.ini",
      AddSettingsOption,
      RunGateway },
    { "check",
      "FILE",
      "check a rules file and print every fault",
      "hibiscushold check rules.ini",
      AddNoOptions,
      RunCheck },
    { "apply",
      "FILE",
      "apply a rules file on all members, or reject it as a whole",
      "hibiscushold apply rules.ini --base 3 --settings node.ini",
      AddApplyOptions,
      RunApply },
    { "config",
      "",
      "print the rules in force",
      "hibiscushold config --settings node.ini > rules.ini",
      AddOperatorOptions,
      RunConfig },
    { "history",
      "",
      "list the versions of the rules that were accepted",
      "hibiscushold history",
      AddOperatorOptions,
      RunHistory },
    { "explain",
      "",
      "show the route, target and policy that a request would get",
      "hibiscushold explain --account sorting-yard --path "
      "/v1/chat/completions --model bark-drafter",
      AddExplainOptions,
      RunExplain },
    { "groups",
      "",
      "list the groups and whether they serve",
      "hibiscushold groups --json",
      AddOperatorOptions,
      RunGroups },
    { "members",
      "",
      "list the nodes and whether they answer",
      "hibiscushold members",
      AddOperatorOptions,
      RunMembers },
    { "remove",
      "MEMBER",
      "remove a node that no longer exists from the member list",
      "hibiscushold remove node-3",
      AddOperatorOptions,
      RunRemove },
    { "targets",
      "",
      "list the VMs, their groups and their load",
      "hibiscushold targets",
      AddOperatorOptions,
      RunTargets },
    { "drain",
      "VM",
      "take a VM out of service without cutting a request",
      "hibiscushold drain vm-7",
      AddDrainOptions,
      RunDrain },
    { "requests",
      "KEY",
      "show what is known about the request with an idempotency key",
      "hibiscushold requests order-118 --account sorting-yard",
      AddRequestsOptions,
      RunRequests },
    { "completion",
      "",
      "print a script that completes commands in bash",
      "source <(hibiscushold completion)",
      AddNoOptions,
      RunCompletion },
    { "version",
      "",
      "print the version of the program",
      "hibiscushold version",
      AddNoOptions,
      RunVersion },
  };
  return commands;
}

std::string
HelpOf(const Command& aCommand)
{
  std::ostringstream text;
  const bool hasNoArguments = *aCommand.mArguments == '\0';
  text << "usage: hibiscushold " << aCommand.mName << " [OPTIONS]"
       << (hasNoArguments ? "" : " ") << aCommand.mArguments << "\n\n"
       << aCommand.mSummary << "\n\n"
       << OptionsOf(aCommand) << "\nexample:\n  " << aCommand.mExample << "\n";
  return text.str();
}

ExitCode
RunCommandLine(std::span<const std::string> aArguments)
{
  if (aArguments.empty()) {
    PrintOverview(std::cerr);
    return ExitCode::Usage;
  }
  const std::string& name = aArguments.front();
  if (name == "help" || name == "--help") {
    PrintOverview(std::cout);
    return ExitCode::Ok;
  }
  const Command* command = FindCommand(name);
  if (command == nullptr) {
    return UnknownCommand(name);
  }
  try {
    return ParseAndRun(*command, aArguments.subspan(1));
  } catch (const po::error& e) {
    return ReportUsageError(std::string(e.what()) + "; see 'hibiscushold " +
                            name + " --help'");
  }
}

ExitCode
ReportFailure(const Failure& aFailure)
{
  std::cerr << "hibiscushold: " << Describe(aFailure) << "\n";
  return ExitCodeOf(aFailure.mError);
}

} // namespace hibiscushold
