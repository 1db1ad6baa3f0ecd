#include "cli/command.h"
#include "core/ini.h"
#include "observe/events.h"

#include <log4cplus/loglevel.h>

#include <algorithm>
#include <cctype>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

std::string
ReadPage(const std::string& aName)
{
  return ReadTextFile(std::string(SOURCE_DIR) + "/docs/" + aName, 1000000)
    .value();
}

/// @return the start of the row of the events page for this event
std::string
EventRow(const EventType& aEvent)
{
  std::string level = log4cplus::getLogLevelManager().toString(aEvent.mLevel);
  std::transform(level.begin(), level.end(), level.begin(), ::tolower);
  return "| " + std::to_string(static_cast<int>(aEvent.mId)) + " | " +
         std::string(aEvent.mName) + " | " + level + " |";
}

/// @return the number of table rows that begin with a number
size_t
CountRows(const std::string& aPage)
{
  size_t rows = 0;
  for (size_t pos = aPage.find("\n| "); pos != std::string::npos;
       pos = aPage.find("\n| ", pos + 1)) {
    rows += std::isdigit(static_cast<unsigned char>(aPage[pos + 3])) != 0;
  }
  return rows;
}

} // namespace

TEST_GROUP(Docs){};

TEST(Docs, TheEventsPageListsEveryEventAndNoOther)
{
  const std::string page = ReadPage("EVENTS.md");
  for (const EventType& it : AllEvents()) {
    STRCMP_CONTAINS(EventRow(it).c_str(), page.c_str());
  }
  CHECK_EQUAL(AllEvents().size(), CountRows(page));
}

TEST(Docs, TheCommandsPageContainsTheHelpOfEveryCommand)
{
  const std::string page = ReadPage("COMMANDS.md");
  for (const Command& it : AllCommands()) {
    STRCMP_CONTAINS(HelpOf(it).c_str(), page.c_str());
  }
}
