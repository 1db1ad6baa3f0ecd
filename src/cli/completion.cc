#include "cli/command.h"

#include <boost/program_options/options_description.hpp>

#include <iostream>

namespace hibiscushold {

namespace {

/// @return the long names of the options, separated by spaces
std::string
OptionNames(const Command& aCommand)
{
  OptionList options;
  aCommand.mAddOptions(options);
  std::string names = "--help";
  for (const auto& it : options.options()) {
    names += " --" + it->long_name();
  }
  return names;
}

} // namespace

ExitCode
RunCompletion(const OptionValues&, std::span<const std::string>)
{
  std::string commands;
  std::string cases;
  for (const Command& it : AllCommands()) {
    commands += std::string(it.mName) + " ";
    cases +=
      std::string("    ") + it.mName + ") words='" + OptionNames(it) + "' ;;\n";
  }
  std::cout << "_hibiscushold() {\n"
               "  local words='"
            << commands
            << "help'\n"
               "  case ${COMP_WORDS[1]} in\n"
            << cases
            << "  esac\n"
               "  [ $COMP_CWORD -gt 1 ] || words='"
            << commands
            << "help'\n"
               "  COMPREPLY=($(compgen -W \"$words\" -- "
               "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
               "}\n"
               "complete -o default -F _hibiscushold hibiscushold\n";
  return ExitCode::Ok;
}

} // namespace hibiscushold
